import {test} from 'tap';
import {BodyBuffer} from '../src/body-buffer.js';

/** Sizes of the chunks of a body, and the declared size of the body. */
const bodies: Readonly<Record<string, {readonly chunks: readonly number[]; readonly declaredBytes?: number}>> = {
	'no chunk': {chunks: []},
	'one chunk': {chunks: [10]},
	'an empty chunk': {chunks: [3, 0, 2]},
	'chunks of one byte': {chunks: Array.from<number>({length: 10_000}).fill(1)},
	'chunks beyond the first capacity': {chunks: [4095, 2, 5000, 70_000]},
	'the declared length': {chunks: [50, 50], declaredBytes: 100},
	'more than the declared length': {chunks: [50, 51], declaredBytes: 100},
	'a declared length that is not sent': {chunks: [5], declaredBytes: 1e15},
};

for (const [title, {chunks, declaredBytes}] of Object.entries(bodies)) {
	test(`collects ${title} in order`, async t => {
		const body = new BodyBuffer(declaredBytes);
		const parts = chunks.map((length, index) => Buffer.alloc(length, index % 251));
		for (const part of parts) {
			body.append(part);
		}

		const expected = Buffer.concat(parts);
		t.equal(body.length, expected.length);
		t.ok(body.take().equals(expected));
		t.equal(body.length, 0, 'it is empty afterwards');
		t.equal(body.take().length, 0);
	});
}

test('chunks are copied, because the parser reuses their memory', async t => {
	const body = new BodyBuffer();
	const chunk = Buffer.from('abc');
	body.append(chunk);
	chunk.fill('x');
	t.equal(body.take().toString(), 'abc');
});
