#!/usr/bin/env node
import {cac} from 'cac';
import {addEdgeCommand} from './commands/edge.js';

// A program of this one command starts in a fraction of the time that the whole command line takes.
const program = cac('tanagerrail');
addEdgeCommand(program);
program.help();
program.parse();
