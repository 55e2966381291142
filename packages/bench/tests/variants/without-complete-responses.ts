import {ServerResponse, type OutgoingHttpHeaders} from 'node:http';
import {runEntry} from './run-entry.js';

type Prototype = {
	destroy(error?: Error): unknown;
	end(): unknown;
	writeHead(status: number, headers?: OutgoingHttpHeaders): unknown;
};

/** Variant of the entry host that ends an incomplete response normally instead of closing the caller's connection. */
const prototype = ServerResponse.prototype as unknown as Prototype;
const {writeHead} = prototype;
prototype.writeHead = function (status, headers) {
	const {'content-length': _, ...others} = headers ?? {};
	return writeHead.call(this, status, others);
};

prototype.destroy = function () {
	return this.end();
};

await runEntry();
