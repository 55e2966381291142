import process from 'node:process';
import {describeDemo} from './demo/describe-demo.js';
import {runDemo} from './demo/run-demo.js';

const {text, isGood} = await runDemo(describeDemo);
process.stdout.write(text);
process.exitCode = isGood ? 0 : 1;
