import process from 'node:process';
import {describeDemo} from './demo/describe-demo.js';
import {runDemo} from './demo/run-demo.js';

const {text, isSuccessful} = await runDemo(describeDemo);
process.stdout.write(text);
process.exitCode = isSuccessful ? 0 : 1;
