import {Packr} from 'msgpackr';

// Prints the encoded size of each slot message, with one message per frame and record definitions already sent.
// docs/CAPACITY.md cites these sizes.

const request = {
	service: 'claim-status',
	workClass: 'status',
	kind: 'short',
	remainingMilliseconds: 987.654_321,
	fingerprint: '0123456789012345678901',
	excluded: [],
	isImmediate: false,
};
const slot = {grantId: 'abc123-123456', endpointId: 'claim-status-12', address: '10.0.12.34:8080'};
const hostMessages = [
	{type: 'acquire', id: 123_456, request},
	{
		type: 'release', grantId: slot.grantId, service: request.service, release: {outcome: 'success', milliseconds: 12.345, isDraining: false},
	},
	{type: 'adopt', held: {grantId: slot.grantId, endpointId: slot.endpointId, request}},
	{type: 'beat', sequence: 1234},
];
const allocatorMessages = [
	{type: 'grant', id: 123_456, ...slot},
	{type: 'lease', service: request.service, ...slot},
	{type: 'beat', sequence: 1234},
];

for (const [sender, messages] of [['host', hostMessages], ['allocator', allocatorMessages]]) {
	const encoder = new Packr({sequential: true});
	// The first frame of each message type contains its record definition.
	for (const message of messages) {
		encoder.pack({revision: 1234, messages: [message]});
	}

	for (const message of messages) {
		console.log(`${sender} ${message.type}: ${encoder.pack({revision: 1234, messages: [message]}).length} bytes`);
	}
}
