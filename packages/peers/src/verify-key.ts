import {createHash, timingSafeEqual} from 'node:crypto';

/** Header in which peers and operators send their key. */
export const keyHeader = 'tanagerrail-key';

/**
 * Verifies the key of a peer or an operator in constant time.
 *
 * @param given - The header's value.
 * @param keys - Valid keys; two during a rotation.
 * @returns Whether one of the keys was given.
 */
export function verifyKey(given: string | string[] | undefined, keys: readonly string[]): boolean {
	if (typeof given !== 'string') {
		return false;
	}

	const digest = hashKey(given);
	return keys.map(key => timingSafeEqual(hashKey(key), digest)).includes(true);
}

function hashKey(key: string): Uint8Array {
	return createHash('sha256').update(key).digest();
}
