/* eslint-disable camelcase -- names on the wire */
/* eslint-disable no-await-in-loop -- steps follow one another */
// Starts edge hosts with the command of the deploy file, and plays the part of the platform for them.
import {spawn} from 'node:child_process';
import {randomInt} from 'node:crypto';
import fs from 'node:fs';
import http from 'node:http';
import os from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as wait} from 'node:timers/promises';
import {Store} from './store.mjs';

const root = path.resolve(import.meta.dirname, '../..');

/** Chooses a loopback address of its own for one machine. */
export const chooseAddress = () => [127, randomInt(1, 255), randomInt(1, 255), randomInt(1, 255)].join('.');

/** Reads the command of the edge role from the deploy file; its settings file is replaced by the given one. */
function readCommand(settings) {
	const [, run] = /^run = "(.+)"$/mv.exec(fs.readFileSync(path.join(root, 'deploy/system.toml'), 'utf8'));
	const words = run.split(' ');
	return [...words.slice(1, -1), settings];
}

export class EdgeProcess {
	/** How often the process has ended without being asked to. */
	ends = 0;
	highestMemoryMegabytes = 0;
	isStopping = false;
	lines = [];

	constructor({id, zone, address, directory}) {
		Object.assign(this, {
			id, zone, address, settings: path.join(directory, `${id}.yaml`),
		});
		this.front = `${address}:8381`;
	}

	writeSettings(fields) {
		this.fields = fields;
		const {store, seeds, isFirstStart, bounds} = fields;
		const quote = JSON.stringify;
		fs.writeFileSync(this.settings, [
			`host: {id: ${quote(this.id)}, failureDomain: ${quote(this.zone)}, isFirstStart: ${isFirstStart}, cores: 0.54}`,
			`seeds: ${quote(seeds)}`,
			`listen: {callers: "${this.front}", readiness: "${this.address}:8388", metrics: "${this.address}:9464", peers: "${this.address}:8382"}`,
			'readinessPath: /tanagerrail/ready',
			`store: {address: "${store}"}`,
			`bounds: ${quote(bounds)}`,
			'',
		].join('\n'));
	}

	/** Starts the process; only the first start is one of the whole system. */
	start() {
		if (this.child) {
			this.writeSettings({...this.fields, isFirstStart: false});
		}

		this.isStopping = false;
		this.child = spawn(process.execPath, readCommand(this.settings), {cwd: root, stdio: ['ignore', 'pipe', 'ignore'], env: {PATH: process.env.PATH, HOME: process.env.HOME, LANG: 'C'}});
		this.child.stdout.setEncoding('utf8').on('data', text => {
			this.lines.push(...text.split('\n').filter(Boolean));
			this.lines.splice(0, Math.max(0, this.lines.length - 20_000));
		});
		const {child} = this;
		child.once('exit', () => {
			child.hasEnded = true;
			if (!this.isStopping) {
				this.ends += 1;
			}
		});
	}

	get isRunning() {
		return !this.child.hasEnded;
	}

	/** Reads the resident memory of the process in MB. */
	readMemory() {
		try {
			const [, kilobytes] = /^VmRSS:\s+(\d+)/mv.exec(fs.readFileSync(`/proc/${this.child.pid}/status`, 'utf8'));
			const megabytes = Number(kilobytes) / 1024;
			this.highestMemoryMegabytes = Math.max(this.highestMemoryMegabytes, megabytes);
			return megabytes;
		} catch {
			return 0;
		}
	}

	kill(signal = 'SIGKILL') {
		this.isStopping = true;
		this.child.kill(signal);
	}

	async checkReady() {
		return new Promise(resolve => {
			const request = http.get({
				host: this.address, port: 8388, path: '/tanagerrail/ready', agent: false, timeout: 900,
			}, response => {
				response.resume();
				resolve(response.statusCode === 200);
			});
			request.on('timeout', () => request.destroy());
			request.on('error', () => resolve(false));
		});
	}
}

export const standardBounds = {
	retryRatio: 0.2, retrySlack: 56, retryWindowSeconds: 10, shutdownSeconds: 6, drainMilliseconds: 2000, probesPerSecond: 60,
};

export class Fleet {
	store = new Store();
	edges = [];
	servers = [];

	/** Starts the store, the servers and the edge hosts, and waits until all hosts are ready. */
	async start({hosts = 2, servers, configuration, bounds = standardBounds}) {
		this.directory = fs.mkdtempSync(path.join(os.tmpdir(), 'tanagerrail-review-'));
		await this.store.start(chooseAddress());
		this.store.put('op', 'config', configuration);
		this.servers = servers;
		for (const server of servers) {
			await server.start(chooseAddress(), this.store);
		}

		this.edges = Array.from({length: hosts}, (_, index) => new EdgeProcess({
			id: `edge-${index + 1}`, zone: 'zone-a', address: chooseAddress(), directory: this.directory,
		}));
		const seeds = this.edges.slice(0, 3).map(({address}) => `${address}:8382`);
		for (const edge of this.edges) {
			edge.writeSettings({
				store: this.store.address, seeds, isFirstStart: true, bounds,
			});
			edge.start();
		}

		await this.waitReady(this.edges, 15_000);
	}

	async waitReady(edges, milliseconds) {
		const endsAt = performance.now() + milliseconds;
		for (const edge of edges) {
			while (!await edge.checkReady()) {
				if (performance.now() > endsAt) {
					throw new Error(`${edge.id} was not ready in time`);
				}

				await wait(50);
			}
		}
	}

	stop() {
		for (const edge of this.edges) {
			if (edge.child && edge.isRunning) {
				edge.kill();
			}
		}

		for (const server of this.servers) {
			server.stop();
		}

		this.store.stop();
		fs.rmSync(this.directory, {recursive: true, force: true});
	}
}

/** Builds the operator's configuration. */
export function buildConfiguration({version = 1, routes, services, limits = {}}) {
	return {
		version: `r${version}`,
		routes: routes.map((route, index) => ({
			name: `r-${index}`, hostname: 'site.example', priority: 1, max_attempts: 2, ...route,
		})),
		services: services.map(name => ({
			name, health_check_path: '/health', max_connections: 220, protocol: 'h1', tls: false,
		})),
		limits: {
			max_header_bytes: 16_384, max_body_bytes: 67_108_864, header_timeout_ms: 3000, idle_timeout_ms: 15_000, ...limits,
		},
	};
}
