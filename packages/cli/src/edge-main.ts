#!/usr/bin/env node
import {startupSnapshot} from 'node:v8';
import {cac} from 'cac';
import {addEdgeCommand} from './commands/edge.js';
import {runDecoders} from './run-decoders.js';

/** Runs the command line of the edge host; a program of this one command starts in a fraction of the time of the whole. */
function runProgram(): void {
	const program = cac('tanagerrail');
	addEdgeCommand(program);
	program.help();
	program.parse();
}

if (startupSnapshot.isBuildingSnapshot()) {
	runDecoders();
	startupSnapshot.setDeserializeMainFunction(runProgram);
} else {
	runProgram();
}
