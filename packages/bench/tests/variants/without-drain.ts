import {Endpoint} from '@tanagerrail/routing';
import {runEntry} from './run-entry.js';

/** An entry whose allocators ignore that an endpoint is leaving. */
Endpoint.prototype.drain = () => undefined;

await runEntry();
