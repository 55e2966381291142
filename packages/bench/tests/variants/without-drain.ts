import {Endpoint} from '@tanagerrail/routing';
import {runEntry} from './run-entry.js';

/** Variant of the entry host whose allocators ignore that an endpoint is draining. */
Endpoint.prototype.drain = () => undefined;

await runEntry();
