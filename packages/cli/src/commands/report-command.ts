import fs from 'node:fs';
import process from 'node:process';
import {ok, type Result} from 'neverthrow';
import type {Failure} from '@tanagerrail/results';
import {collectLevels} from '../report/collect-levels.js';
import {renderReportHtml} from '../report/render-report-html.js';
import {renderReportText} from '../report/render-report-text.js';
import type {Settings} from '../settings.js';

/** Options of `tanagerrail report`. */
export type ReportCommandOptions = {
	/** Print JSON in place of text. */
	readonly json?: boolean;
	/** File for the HTML page. */
	readonly html?: string;
};

/**
 * Runs `tanagerrail report`.
 *
 * @param settings - Addresses and keys.
 * @param options - Form of the output.
 * @returns Nothing, or `host-list-unavailable`.
 */
export async function runReportCommand(settings: Pick<Settings, 'platform' | 'keys'>, {json = false, html}: ReportCommandOptions): Promise<Result<void, Failure>> {
	const collected = await collectLevels(settings);
	return collected.andThen(levels => {
		if (html !== undefined) {
			fs.writeFileSync(html, renderReportHtml(levels));
		}

		process.stdout.write(json ? `${JSON.stringify({...levels.report, warnings: levels.warnings}, undefined, '\t')}\n` : renderReportText(levels));
		return ok(undefined);
	});
}
