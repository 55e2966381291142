// The parts of prom-client that the edge host uses. Its index also loads the push gateway, summaries and cluster support.
export {default as Counter} from 'prom-client/lib/counter.js';
export {default as Histogram} from 'prom-client/lib/histogram.js';
export {default as Registry} from 'prom-client/lib/registry.js';
