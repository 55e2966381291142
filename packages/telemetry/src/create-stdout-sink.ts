import fs from 'node:fs';
import type {Clock} from './clock.js';
import {LogLevel, type LogSink} from './logger.js';

/** Options of {@link createStdoutSink}. */
export type StdoutSinkOptions = {
	readonly clock: Clock;
	/** Lines a second; lines of level `warn` and `error` may use as many again. */
	readonly linesPerSecond: number;
	/** Bytes that may wait for a reader that does not read; further lines are dropped. */
	readonly bufferBytes: number;
	/** Writes bytes and calls back when they are written. */
	readonly write: (bytes: Uint8Array, onWritten: (error?: NodeJS.ErrnoException | null) => void) => void;
	/** Reports how many lines were dropped in the last second. */
	readonly onDropped: (lines: number) => void;
};

const stdoutFileDescriptor = 1;

/** Defaults of {@link StdoutSinkOptions}. */
export const defaultStdoutSinkOptions = {
	linesPerSecond: 500,
	bufferBytes: 1_048_576,
	write(bytes: Uint8Array, onWritten: (error?: NodeJS.ErrnoException | null) => void) {
		// Node.js writes to pipes synchronously through its streams; this call uses its thread pool instead.
		fs.write(stdoutFileDescriptor, bytes, onWritten);
	},
};

const urgentLevels: ReadonlySet<LogLevel> = new Set([LogLevel.warn, LogLevel.error]);

/**
 * Creates a sink that writes to standard output without ever blocking. Its volume is bounded: lines above the rate and
 * lines for which a slow reader leaves no room are dropped and counted, those of failures last.
 *
 * @param options - Rate and room.
 * @returns The sink.
 */
export function createStdoutSink(options: Partial<StdoutSinkOptions> & Pick<StdoutSinkOptions, 'clock' | 'onDropped'>): LogSink {
	const {clock, linesPerSecond, bufferBytes, write, onDropped} = {...defaultStdoutSinkOptions, ...options};
	let bufferedLines: string[] = [];
	let bufferedBytes = 0;
	let isWriting = false;
	let secondStartedAt = clock();
	let lines = 0;
	let droppedLines = 0;

	const flush = () => {
		if (isWriting || bufferedLines.length === 0) {
			return;
		}

		const bytes = Buffer.from(bufferedLines.join(''));
		bufferedLines = [];
		isWriting = true;
		writeAll(bytes);
	};

	const writeAll = (bytes: Uint8Array) => {
		write(bytes, error => {
			const isPipeFull = error?.code === 'EAGAIN';
			if (isPipeFull) {
				setTimeout(writeAll, 20, bytes).unref();
				return;
			}

			bufferedBytes -= bytes.length;
			isWriting = false;
			flush();
		});
	};

	return (line, level) => {
		const now = clock();
		if (now - secondStartedAt >= 1000) {
			secondStartedAt = now;
			lines = 0;
			if (droppedLines > 0) {
				onDropped(droppedLines);
				droppedLines = 0;
			}
		}

		const size = Buffer.byteLength(line);
		const limit = urgentLevels.has(level) ? linesPerSecond * 2 : linesPerSecond;
		if (lines >= limit || bufferedBytes + size > bufferBytes) {
			droppedLines += 1;
			return;
		}

		lines += 1;
		bufferedBytes += size;
		bufferedLines.push(line);
		flush();
	};
}
