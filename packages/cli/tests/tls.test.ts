import {webcrypto} from 'node:crypto';
import fs from 'node:fs';
import path from 'node:path';
import {setTimeout as wait} from 'node:timers/promises';
import {connect} from 'node:tls';
import {createTRPCClient} from '@trpc/client';
import {test} from 'tap';
import {Agent, request} from 'undici';
import {createListenerServer, TlsFiles} from '@tanagerrail/http';
import {
	createControlLink, LinkState, peerControlPath, SlotLink, type PeerControlRouter,
} from '@tanagerrail/peers';
import {StandInHostList} from '@tanagerrail/stand-ins';
import {readMonotonicClock} from '@tanagerrail/telemetry';
import {EntryHost} from '../src/entry-host.js';
import {settingsSchema} from '../src/settings.js';

// The dependency injection of @peculiar/x509 requires the reflection API to be loaded first.
await import('reflect-metadata');
const x509 = await import('@peculiar/x509');
const algorithm = {name: 'ECDSA', namedCurve: 'P-256', hash: 'SHA-256'};

/** Writes a self-signed certificate for 127.0.0.1 and its private key, replacing existing files. */
async function writeCertificate(directory: string, serialNumber: string): Promise<{certificateFile: string; keyFile: string; authorityFile: string}> {
	x509.cryptoProvider.set(webcrypto as never);
	const keys = await webcrypto.subtle.generateKey(algorithm, true, ['sign', 'verify']);
	const certificate = await x509.X509CertificateGenerator.createSelfSigned({
		serialNumber,
		name: 'CN=tanagerrail test',
		notBefore: new Date(Date.now() - 60_000),
		notAfter: new Date(Date.now() + 3_600_000),
		keys: keys as never,
		signingAlgorithm: algorithm,
		extensions: [
			new x509.BasicConstraintsExtension(true, 1, true),
			new x509.SubjectAlternativeNameExtension([{type: 'ip', value: '127.0.0.1'}]),
		],
	});
	const files = {certificateFile: path.join(directory, 'cert.pem'), keyFile: path.join(directory, 'key.pem')};
	const key = await webcrypto.subtle.exportKey('pkcs8', keys.privateKey);
	fs.writeFileSync(files.keyFile, x509.PemConverter.encode(key, 'PRIVATE KEY'));
	fs.writeFileSync(files.certificateFile, certificate.toString('pem'));
	return {...files, authorityFile: files.certificateFile};
}

async function readSerial(port: number): Promise<string> {
	return new Promise((resolve, reject) => {
		const socket = connect({port, host: '127.0.0.1', rejectUnauthorized: false}, () => {
			resolve(socket.getPeerCertificate().serialNumber);
			socket.destroy();
		});
		socket.once('error', reject);
	});
}

test('a new certificate is served without a restart, and unusable files leave the previous one in use', async t => {
	const directory = t.testdir({});
	const files = await writeCertificate(directory, '0a');
	const tls = new TlsFiles({...files, pollMilliseconds: 10});
	const server = createListenerServer({}, tls);
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	t.teardown(() => server.close());
	const {port} = server.address() as {port: number};
	t.equal(await readSerial(port), '0A');
	await writeCertificate(directory, '0b');
	while (await readSerial(port) !== '0B') {
		await wait(5);
	}

	fs.writeFileSync(files.keyFile, 'not a key');
	await wait(50);
	t.equal(await readSerial(port), '0B');
	t.match(new TlsFiles(files).read()._unsafeUnwrapErr(), {id: 'tls-unusable'});
});

test('callers and peers are served over TLS; both keys of a rotation open a link and any other key is refused', async t => {
	const files = await writeCertificate(t.testdir({}), '0c');
	const hostList = new StandInHostList();
	const authority = fs.readFileSync(files.authorityFile, 'utf8');
	const keys = ['former-key-0123456789', 'coming-key-0123456789'];
	const host = new EntryHost(settingsSchema.parse({
		host: {id: 'a', failureDomain: 'x'},
		listen: {
			callers: {port: 0, tls: {certificateFile: files.certificateFile, keyFile: files.keyFile}}, peers: {port: 0, tls: files}, admin: {port: 0},
		},
		keys: {peers: keys, admin: keys},
		platform: {hostList: {url: await hostList.start()}},
		log: {filter: ''},
		shutdown: {lameDuckMilliseconds: 0},
	}));
	const ports = await host.start();
	const links: SlotLink[] = [];
	t.teardown(async () => {
		for (const link of links) {
			link.close();
		}

		await host.stop();
		hostList.stop();
	});
	const {statusCode, body} = await request(`https://127.0.0.1:${ports.callers}/x`, {dispatcher: new Agent({connect: {ca: authority}})});
	await body.dump();
	t.equal(statusCode, 503, 'the host responds although it has no configuration');

	const openLink = async (key: string, getAuthority?: () => string) => {
		const link = new SlotLink({
			peerId: 'a', peerAddress: `127.0.0.1:${ports.peers}`, key, getAuthority, clock: readMonotonicClock, getRevision: () => 0,
			buildHello: () => ({
				type: 'hello', hostId: 'b', incarnation: 'b-1', failureDomain: 'x', held: [], crashes: [], drains: [],
			}),
			onRevision: () => undefined, onGoodbye: () => undefined, onNotice: () => undefined, onClosed: () => undefined,
		});
		links.push(link);
		void link.run();
		return link.waitOpen(2000);
	};

	t.equal(await openLink(keys[0]!, () => authority), true);
	t.equal(await openLink(keys[1]!, () => authority), true);
	t.equal(await openLink('another-key-0123456789', () => authority), false);
	t.equal(await openLink(keys[0]!), false, 'a peer that does not use TLS is refused');
	t.same(links.map(({state}) => state === LinkState.open), [true, true, false, false]);

	const control = (trusted?: string) => createTRPCClient<PeerControlRouter>({
		links: [createControlLink({
			address: `127.0.0.1:${ports.peers}`, path: peerControlPath, key: keys[1]!, getAuthority: trusted === undefined ? undefined : () => trusted,
		})],
	});
	const status = await control(authority).getStatus.query();
	t.equal(status.hostId, 'a', 'control calls between peers also use TLS');
	await t.rejects(control().getStatus.query());
});
