import {performance} from 'node:perf_hooks';

/** Returns the monotonic time of this process in milliseconds; it never goes back, but jumps forward after a pause. */
export type Clock = () => number;

/** Reads the monotonic clock of the process. */
export const readMonotonicClock: Clock = () => performance.now();
