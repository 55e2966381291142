import path from 'node:path';

/** The product's program of the edge host. */
export const edgeProgram = path.resolve(import.meta.dirname, '../../../../cli/dist/src/edge-main.js');
