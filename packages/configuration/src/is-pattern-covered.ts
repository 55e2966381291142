/**
 * Checks whether every path that a pattern matches is also matched by another pattern.
 *
 * @param pattern - Path pattern: `*` matches one segment, a final `**` matches the rest.
 * @param other - The pattern that may cover the first one.
 * @returns Whether the first pattern is covered by the other.
 */
export function isPatternCovered(pattern: string, other: string): boolean {
	const parts = pattern.split('/');
	const others = other.split('/');
	for (const [index, part] of others.entries()) {
		if (part === '**') {
			return parts.length >= index;
		}

		const covered = parts[index];
		if (covered === undefined || covered === '**' || (part !== '*' && part !== covered)) {
			return false;
		}
	}

	return parts.length === others.length;
}
