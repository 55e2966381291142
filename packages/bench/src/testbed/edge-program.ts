import path from 'node:path';

/** Path of the program of the edge host. */
export const edgeProgram = path.resolve(import.meta.dirname, '../../../../cli/dist/src/edge-main.js');
