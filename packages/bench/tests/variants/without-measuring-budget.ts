import {loadModule, runEntry} from './run-entry.js';

type TokenBucketModule = {readonly TokenBucket: {readonly prototype: object}};

/** An entry whose probes need no tokens. */
const {TokenBucket} = await loadModule<TokenBucketModule>('measuring/dist/src/token-bucket.js');
Object.defineProperty(TokenBucket.prototype, 'available', {get: () => Infinity});

await runEntry();
