#!/usr/bin/env node
import {startupSnapshot} from 'node:v8';
import {cac} from 'cac';
import {addEdgeCommand} from './commands/edge.js';
import {runDecoders} from './run-decoders.js';

/** Runs the command line with the `edge` command only, which starts much faster than the program with all commands. */
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
