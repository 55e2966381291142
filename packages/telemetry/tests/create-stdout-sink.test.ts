import {test} from 'tap';
import {createStdoutSink} from '../src/create-stdout-sink.js';

type Write = (bytes: Uint8Array, onWritten: (error?: NodeJS.ErrnoException | null) => void) => void;

function createSink(write: Write, options: {linesPerSecond?: number; bufferBytes?: number} = {}) {
	const time = {now: 0};
	const dropped: number[] = [];
	const sink = createStdoutSink({
		clock: () => time.now, onDropped: lines => dropped.push(lines), write, ...options,
	});
	return {time, dropped, sink};
}

test('the number of log lines per second is limited', async t => {
	let written = '';
	const {sink, time, dropped} = createSink((bytes, onWritten) => {
		written += Buffer.from(bytes).toString();
		onWritten();
	}, {linesPerSecond: 10});
	for (let index = 0; index < 100; index++) {
		sink('info\n', 'info');
	}

	sink('failure\n', 'warn');
	t.equal(written.split('info').length - 1, 10);
	t.match(written, /failure/v, 'warnings have a higher limit');
	time.now = 1000;
	sink('later\n', 'info');
	t.same(dropped, [90], 'dropped lines are reported');
});

test('the buffer is limited while the reader of the log does not read', async t => {
	const calls: Uint8Array[] = [];
	const {sink} = createSink(bytes => {
		calls.push(bytes);
	}, {bufferBytes: 100});
	for (let index = 0; index < 1000; index++) {
		sink('0123456789', 'info');
	}

	t.equal(calls.length, 1, 'no second write starts before the first one has completed');
});

test('lines are written again after standard output was full', async t => {
	let calls = 0;
	const written = new Promise<string>(resolve => {
		const {sink} = createSink((bytes, onWritten) => {
			calls += 1;
			if (calls === 1) {
				onWritten(Object.assign(new Error('full'), {code: 'EAGAIN'}));
				return;
			}

			resolve(Buffer.from(bytes).toString());
			onWritten();
		});
		sink('line', 'info');
		setTimeout(() => undefined, 100);
	});
	t.equal(await written, 'line');
});
