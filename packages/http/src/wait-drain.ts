import {once} from 'node:events';
import type {ServerResponse} from 'node:http';

/**
 * Waits until more of a response can be written or its connection is closed.
 *
 * @param res - Response to the caller.
 */
export async function waitDrain(res: ServerResponse): Promise<void> {
	const controller = new AbortController();
	const {signal} = controller;
	try {
		await Promise.race([once(res, 'drain', {signal}), once(res, 'close', {signal})]);
	} finally {
		controller.abort();
	}
}
