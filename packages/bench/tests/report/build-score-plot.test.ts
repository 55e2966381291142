import {test} from 'tap';
import {buildScorePlot, ScorePart} from '../../src/report/build-score-plot.js';
import {renderPlot} from '../../src/report/render-plot.js';

const buildParts = (worstWindows: number) => [['whole day', 0.28, 0.9], ['worst windows', 0.4, worstWindows]];
const buildEntry = (head: string, days: Record<string, number>, cmd = 'score') => JSON.stringify({
	cmd, head, why: 'a trial', days: Object.entries(days).map(([name, worstWindows]) => ({name, parts: buildParts(worstWindows)})),
});

test('each score entry becomes one line over the days, without randomly generated days', t => {
	const directory = t.testdir({
		'20260101T000000-aaaa0001.json': buildEntry('1111111aaa', {'trouble-1': 0.5, 'quiet-1': 0.9, 'fresh-1': 0.1}),
		'20260102T000000-bbbb0002.json': buildEntry('2222222bbb', {'quiet-1': 0.95, 'trouble-1': 0.6}),
	});
	const plot = buildScorePlot({directory, ids: ['aaaa0001', 'bbbb0002'], part: ScorePart.worstWindows})._unsafeUnwrap();
	t.strictSame(plot.xLabels, ['quiet-1', 'trouble-1']);
	t.strictSame(plot.series, [
		{name: '1111111: a trial', points: [[0, 0.9], [1, 0.5]]},
		{name: '2222222: a trial', points: [[0, 0.95], [1, 0.6]]},
	]);
	t.match(renderPlot(plot), /quiet-1[\s\S]*trouble-1/v, 'the days label the axis');
	t.end();
});

test('an unknown id and an entry of another command are errors', t => {
	const directory = t.testdir({'20260101T000000-aaaa0001.json': buildEntry('1111111aaa', {}, 'hunt')});
	t.equal(buildScorePlot({directory, ids: ['none'], part: ScorePart.wholeDay})._unsafeUnwrapErr(), 'the journal has no entry none');
	t.equal(buildScorePlot({directory, ids: ['aaaa0001'], part: ScorePart.wholeDay})._unsafeUnwrapErr(), 'journal entry aaaa0001 is not a score');
	t.end();
});
