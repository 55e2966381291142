/** Text that is shown for a missing value. */
const missingValueText = '-';

/** Formatting functions for the values in a report. */
export const valueFormats = {
	share: (value: number | undefined) => value === undefined ? missingValueText : `${(value * 100).toFixed(2)}%`,
	milliseconds: (value: number | undefined) => value === undefined ? missingValueText : `${value >= 100 ? Math.round(value) : value.toFixed(1)} ms`,
	rate: (value: number | undefined) => value === undefined ? missingValueText : value.toFixed(2),
	time: (value: number | undefined) => value === undefined ? missingValueText : new Date(value).toISOString().replace(/\.\d+Z$/v, 'Z'),
} as const;
