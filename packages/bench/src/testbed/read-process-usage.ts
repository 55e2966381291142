import fs from 'node:fs';

/** Processor time and memory of a process. */
export type ProcessUsage = {
	/** User and system time since the start of the process, in milliseconds. */
	readonly processorMilliseconds: number;
	/** Resident set size in bytes. */
	readonly residentBytes: number;
};

// USER_HZ and the page size are part of the kernel's interface on the platforms that Node.js 20 supports.
const millisecondsPerTick = 10;
const pageBytes = 4096;

/**
 * Reads the usage of a process from `/proc/PID/stat` (proc(5)).
 *
 * @param pid - Process id.
 * @returns The usage, or `undefined` when the process does not exist.
 */
export function readProcessUsage(pid: number): ProcessUsage | undefined {
	try {
		const stat = fs.readFileSync(`/proc/${pid}/stat`, 'utf8');
		// Fields are counted after the command name, which may contain spaces; the first one is field 3.
		const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
		const ticks = Number(fields[11]) + Number(fields[12]);
		return {processorMilliseconds: ticks * millisecondsPerTick, residentBytes: Number(fields[21]) * pageBytes};
	} catch {
		return undefined;
	}
}
