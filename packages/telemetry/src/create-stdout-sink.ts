import fs from 'node:fs';
import type {Clock} from './clock.js';
import {LogLevel, type LogSink} from './logger.js';

/** Options of {@link createStdoutSink}. */
export type StdoutSinkOptions = {
	readonly clock: Clock;
	/** Maximum number of lines per second; lines of level `warn` and `error` are accepted up to twice that number. */
	readonly linesPerSecond: number;
	/** Maximum number of buffered bytes while the reader of standard output is slow; further lines are dropped. */
	readonly bufferBytes: number;
	/** Writes bytes and calls back when the write has completed or failed. */
	readonly write: (bytes: Uint8Array, onWritten: (error?: NodeJS.ErrnoException | null) => void) => void;
	/** Called with the number of lines dropped since the last call, at most once per second. */
	readonly onDropped: (lines: number) => void;
};

const stdoutFileDescriptor = 1;

/** Defaults of {@link StdoutSinkOptions}. */
export const defaultStdoutSinkOptions = {
	linesPerSecond: 500,
	bufferBytes: 1_048_576,
	write(bytes: Uint8Array, onWritten: (error?: NodeJS.ErrnoException | null) => void) {
		// Node.js streams write to pipes synchronously; this call uses the thread pool instead.
		fs.write(stdoutFileDescriptor, bytes, onWritten);
	},
};

const urgentLevels: ReadonlySet<LogLevel> = new Set([LogLevel.warn, LogLevel.error]);

/**
 * Creates a log sink that writes to standard output without blocking. Lines that exceed the rate limit or do not fit into
 * the buffer are dropped and counted; the rate limit is higher for warnings and errors.
 *
 * @param options - Clock, limits and callbacks.
 * @returns The log sink.
 */
export function createStdoutSink(options: Partial<StdoutSinkOptions> & Pick<StdoutSinkOptions, 'clock' | 'onDropped'>): LogSink {
	const {clock, linesPerSecond, bufferBytes, write, onDropped} = {...defaultStdoutSinkOptions, ...options};
	let bufferedLines: string[] = [];
	let bufferedBytes = 0;
	let isWriting = false;
	let secondStartedAt = clock();
	let linesThisSecond = 0;
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
			linesThisSecond = 0;
			if (droppedLines > 0) {
				onDropped(droppedLines);
				droppedLines = 0;
			}
		}

		const size = Buffer.byteLength(line);
		const limit = urgentLevels.has(level) ? linesPerSecond * 2 : linesPerSecond;
		if (linesThisSecond >= limit || bufferedBytes + size > bufferBytes) {
			droppedLines += 1;
			return;
		}

		linesThisSecond += 1;
		bufferedBytes += size;
		bufferedLines.push(line);
		flush();
	};
}
