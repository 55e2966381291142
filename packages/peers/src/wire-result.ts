import {err, ok, type Result} from 'neverthrow';

/** A result as plain data. */
export type WireResult<T, E> = {readonly isOk: true; readonly value: T} | {readonly isOk: false; readonly error: E};

/**
 * Encodes a result for a control call.
 *
 * @param result - The result.
 * @returns The same as plain data.
 */
export function encodeResult<T, E>(result: Result<T, E>): WireResult<T, E> {
	return result.isOk() ? {isOk: true, value: result.value} : {isOk: false, error: result.error};
}

/**
 * Decodes a result of a control call.
 *
 * @param wire - The plain data.
 * @returns The result.
 */
export function decodeResult<T, E>(wire: WireResult<T, E>): Result<T, E> {
	return wire.isOk ? ok(wire.value) : err(wire.error);
}
