import {performance} from 'node:perf_hooks';

/** Monotonic time of this process in milliseconds; never goes back, jumps forward after a pause. */
export type Clock = () => number;

/** The process's own monotonic clock. */
export const readMonotonicClock: Clock = () => performance.now();
