import {
	PlatformServer, type PlatformCounts, type PlatformRequest, type PlatformResponse, type PlatformUrls,
} from './platform-server.js';
import type {PlatformFaults} from './platform-faults.js';

/** Options of {@link StandInObjectStore}. */
export type StandInObjectStoreOptions = {
	/** Maximum number of keys on one page of a list. */
	readonly pageSize: number;
};

/** Defaults of {@link StandInObjectStoreOptions}. */
export const defaultStandInObjectStoreOptions: StandInObjectStoreOptions = {pageSize: 1000};

const writeMethods = new Set(['PUT', 'DELETE']);

/**
 * Serves the part of the S3 REST protocol that the platform adapter uses, with path-style URLs: PutObject,
 * GetObject, DeleteObject and ListObjectsV2. Signatures are not checked; every bucket exists.
 */
export class StandInObjectStore {
	readonly #objects = new Map<string, Uint8Array>();
	readonly #pageSize: number;
	readonly #server: PlatformServer;

	readonly #handlers: Readonly<Record<string, (request: PlatformRequest) => PlatformResponse>> = {
		PUT: ({url, body}) => {
			this.#objects.set(decodeURIComponent(url.pathname), body);
			return {status: 200};
		},
		DELETE: ({url}) => {
			this.#objects.delete(decodeURIComponent(url.pathname));
			return {status: 204};
		},
		GET: ({url}) => {
			if (url.searchParams.get('list-type') === '2') {
				return this.#list(url);
			}

			const body = this.#objects.get(decodeURIComponent(url.pathname));
			return body ? {status: 200, headers: {'content-type': 'application/octet-stream'}, body} : createXmlError(404, 'NoSuchKey');
		},
	};

	constructor(options: Partial<StandInObjectStoreOptions> = {}) {
		this.#pageSize = {...defaultStandInObjectStoreOptions, ...options}.pageSize;
		this.#server = new PlatformServer({
			isWrite: ({method}) => writeMethods.has(method),
			serve: request => this.#handlers[request.method]?.(request) ?? createXmlError(405, 'MethodNotAllowed'),
		});
	}

	/** Number of successful reads and writes. */
	get counts(): PlatformCounts {
		return this.#server.counts;
	}

	/**
	 * Starts to listen.
	 *
	 * @param port - Port; 0 picks a free one.
	 * @returns The URLs in use.
	 */
	async start(port = 0): Promise<PlatformUrls> {
		return this.#server.start(port);
	}

	/**
	 * Changes the faults.
	 *
	 * @param faults - The faults to change.
	 */
	async update(faults: Partial<PlatformFaults>): Promise<void> {
		await this.#server.update(faults);
	}

	/** Stops immediately. */
	stop(): void {
		this.#server.stop();
	}

	#list({pathname, searchParams}: URL): PlatformResponse {
		const bucket = `${decodeURIComponent(pathname).replace(/\/$/v, '')}/`;
		const prefix = bucket + (searchParams.get('prefix') ?? '');
		const after = bucket + (searchParams.get('continuation-token') ?? '');
		const names = [...this.#objects.keys()].filter(name => name.startsWith(prefix) && name > after).sort();
		const page = names.slice(0, this.#pageSize).map(name => name.slice(bucket.length));
		const isTruncated = names.length > page.length;
		const contents = page.map(key => `<Contents><Key>${escapeXml(key)}</Key></Contents>`).join('');
		const next = isTruncated ? `<NextContinuationToken>${escapeXml(page.at(-1)!)}</NextContinuationToken>` : '';
		return createXml(200, `<ListBucketResult><IsTruncated>${isTruncated}</IsTruncated>${next}${contents}</ListBucketResult>`);
	}
}

function createXml(status: number, content: string): PlatformResponse {
	return {status, headers: {'content-type': 'application/xml'}, body: `<?xml version="1.0" encoding="UTF-8"?>${content}`};
}

function createXmlError(status: number, code: string): PlatformResponse {
	return createXml(status, `<Error><Code>${code}</Code><Message>${code}</Message></Error>`);
}

function escapeXml(text: string): string {
	return text.replaceAll(/[&<>]/gv, character => `&#${character.codePointAt(0)};`);
}
