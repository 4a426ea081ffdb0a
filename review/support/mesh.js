/* eslint-disable no-await-in-loop, no-void -- clients and servers act one step after the other, beside each other */
/**
 * Starts nodes as the deploy file does, on loopback addresses of their own, each beside a stand-in
 * server, and a stand-in store. The settings are the template of the deploy file, filled with values
 * of the installation `kopijwacht-be-grown`.
 */
import {Buffer} from 'node:buffer';
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import {request as sendRequest} from 'node:http';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {setTimeout as sleep} from 'node:timers/promises';
import {createStandInStore} from '../../target/review/store.mjs';
import {createServerStandIn} from './server.js';

const root = path.resolve(import.meta.dirname, '../..');
/** `run.sh` turns them into 0, 1 and 2; 1 is left to a program that fails. */
const exitCodes = {held: 0, broken: 10, notRun: 11};
const readyTimeoutMilliseconds = 30_000;
const restartDelayMilliseconds = 300;

/** Bounds of the installation `kopijwacht-be-grown`, and the widest link of its machines. */
export const bounds = {
	'contact-ms': 4000,
	'ack-ms': 6000,
	'drain-ms': 3000,
	'grace-s': 6,
	'config-ms': 3000,
	'budget-ratio': 0.2,
	'budget-window-s': 10,
	'budget-slack': 210,
};
const linkMegabits = 140;

/** Ports are the same on all machines of a day; the addresses differ. */
const ports = {
	inbound: 8300,
	app: 8301,
	ready: 8302,
	outbound: 8304,
	control: 8306,
	store: 8309,
	firstOwn: 7620,
	lastOwn: 7635,
};

export const isTroubled = process.env.TROUBLE !== '0';

/** The record of the case that runs. */
const recorder = {record: () => undefined};

/** Renders a template of the deploy file as the page on deployment says. */
function render(template, fields, scope = fields) {
	const find = name => {
		if (name === '.') {
			return scope;
		}

		const read = from => {
			if (from && typeof from === 'object' && name in from) {
				return from[name];
			}

			let value = from;
			for (const part of name.split('.')) {
				value = value?.[part];
			}

			return value;
		};

		return read(scope) ?? read(fields);
	};

	const sections =
		/\{\{(?<kind>#|\^)(?<name>[^\}]+)\}\}(?<inner>[\s\S]*?)\{\{\/\k<name>\}\}/v;
	let text = template;
	for (let match = sections.exec(text); match; match = sections.exec(text)) {
		const {kind, name, inner} = match.groups;
		const value = find(name);
		const isShown = (value !== undefined && value !== false) === (kind === '#');
		text = text.replace(match[0], () => (isShown ? render(inner, fields) : ''));
	}

	return text.replaceAll(/\{\{(?<name>[^\}\|]+)(?<json>\|json)?\}\}/gv, (...match) => {
		const {name, json} = match.at(-1);
		const value = find(name);
		return json ? JSON.stringify(value) : String(value ?? '');
	});
}

/** The run line of the deploy file, without the path of the settings. */
function readRunLine() {
	const deploy = readFileSync(path.join(root, 'deploy/system.toml'), 'utf8');
	const {line} = /^run = "(?<line>[^"]+)"$/mv.exec(deploy).groups;
	return line.split(' ');
}

/** A client of the installation: one request on a connection of its own, or of an agent. */
export async function send(host, options) {
	const {id, route, method = 'GET', deadline = 1000, body, headers = {}, agent} = options;
	const {bytesPerSecond} = options;
	return new Promise(resolve => {
		const sentAt = performance.now();
		recorder.record(`send ${id}: ${method} ${route} to ${host}`);
		const finish = result => {
			const {status, error = '', isComplete} = result;
			const milliseconds = Math.round(performance.now() - sentAt);
			recorder.record(
				`answer ${id}: status ${status} ${error}, ${isComplete ? `complete, ${result.body.length} bytes` : 'not complete'}, ${milliseconds} ms`,
			);
			resolve({id, milliseconds, isReused: request.reusedSocket, ...result});
		};

		const request = sendRequest(
			{
				host,
				port: ports.outbound,
				method,
				path: route,
				agent: agent ?? false,
				headers: {
					host: 'hulo84.example',
					'x-request-id': id,
					'x-request-deadline': String(deadline),
					...(body === undefined ? {} : {'content-length': String(body.length)}),
					...headers,
				},
			},
			response => {
				const chunks = [];
				const end = isComplete => {
					finish({
						status: response.statusCode,
						seal: response.headers['x-response-seal'],
						answeredId: response.headers['x-request-id'],
						body: Buffer.concat(chunks).toString('latin1'),
						isComplete,
					});
				};

				response.on('data', chunk => {
					chunks.push(chunk);
					if (bytesPerSecond !== undefined) {
						// The link lets the next bytes through after a while.
						response.pause();
						setTimeout(() => response.resume(), (chunk.length / bytesPerSecond) * 1000);
					}
				});
				response.once('end', () => end(response.complete));
				response.once('error', () => end(false));
			},
		);
		request.once('error', error => finish({status: 0, error: error.code}));
		request.end(body);
	});
}

/** Creates a case: its record, its processes, and how it ends. */
export function createCase(directory) {
	const recordFile = path.join(directory, 'record.txt');
	writeFileSync(recordFile, '');
	const startedAt = Date.now();
	const children = new Set();
	const closers = [];
	const folder = mkdtempSync(path.join(tmpdir(), 'review-'));

	function record(line) {
		const seconds = ((Date.now() - startedAt) / 1000).toFixed(3);
		appendFileSync(recordFile, `${seconds.padStart(8)} ${line}\n`);
	}

	recorder.record = record;

	async function cleanUp() {
		for (const child of children) {
			child.kill('SIGCONT');
			child.kill('SIGKILL');
		}

		for (const close of closers) {
			close();
		}

		rmSync(folder, {recursive: true, force: true});
	}

	async function end(code, line) {
		record(line);
		process.stdout.write(`${line}\n`);
		await cleanUp();
		// eslint-disable-next-line unicorn/no-process-exit
		process.exit(code);
	}

	for (const signal of ['SIGINT', 'SIGTERM']) {
		process.once(signal, () => {
			void end(exitCodes.notRun, `stopped by ${signal}`);
		});
	}

	return {
		record,
		folder,
		children,
		closers,
		held: async line => end(exitCodes.held, `held: ${line}`),
		broken: async line => end(exitCodes.broken, `broken: ${line}`),
		notRun: async line => end(exitCodes.notRun, `not run: ${line}`),
	};
}

/** Chooses loopback addresses that another run does not use at the same time. */
function chooseAddress(index) {
	const {pid} = process;
	return `127.${20 + (pid % 200)}.${Math.floor(pid / 200) % 250}.${index + 1}`;
}

/** Runs a case to its end; anything unexpected counts as not run. */
export async function runCase(directory, play) {
	const current = createCase(directory);
	try {
		await play(current);
	} catch (error) {
		await current.notRun(error.stack);
	}
}

/**
 * Starts a mesh and waits until all nodes are ready and know all servers.
 *
 * @param current the case
 * @param options machines (`{zone, region, service}`), config, and options of the servers
 * @returns the store and the machines
 */
export async function startMesh(current, {machines, config, servers = {}}) {
	const store = createStandInStore();
	store.putConfiguration(config);
	const storeHost = chooseAddress(200);
	store.server.listen(ports.store, storeHost);
	await once(store.server, 'listening');
	current.closers.push(() => store.server.close());
	const template = readFileSync(path.join(root, 'deploy/node.yaml.template'), 'utf8');
	const started = [];
	for (const [index, machine] of machines.entries()) {
		const ip = chooseAddress(index);
		const node = `sidecar-${machine.zone}-${index + 1}`;
		const app = `${ip}:${ports.app}`;
		const fields = {
			node,
			ip,
			zone: machine.zone,
			region: machine.region,
			service: machine.service,
			'app-addr': app,
			'port-range': [ports.firstOwn, ports.lastOwn],
			listen: {
				inbound: `${ip}:${ports.inbound}`,
				outbound: `${ip}:${ports.outbound}`,
				ready: `${ip}:${ports.ready}`,
				control: `${ip}:${ports.control}`,
			},
			limits: {'link-mbps': linkMegabits},
			platform: {addr: `${storeHost}:${ports.store}`},
			bounds,
		};
		const file = path.join(current.folder, `${node}.yaml`);
		writeFileSync(file, render(template, fields));
		const server = createServerStandIn({
			host: ip,
			port: ports.app,
			control: {host: ip, port: ports.control},
			service: machine.service,
			zone: machine.zone,
			id: `i-${index + 1}-1`,
			record: current.record,
			...servers,
			...machine.server,
		});
		const control = {host: ip, port: ports.control};
		const {life} = startNode(current, node, file);
		started.push({name: node, ip, file, control, server, life});
		current.closers.push(server.close);
	}

	await Promise.all(started.map(async ({ip}) => waitUntilReady(ip)));
	await Promise.all(started.map(async ({server}) => server.start()));
	await Promise.all(started.map(async ({ip}) => waitUntilKnown(ip, machines.length)));
	current.record(`mesh of ${machines.length} nodes is ready`);
	return {store, machines: started};
}

/** Starts a node, and starts it again whenever it ends, as the platform does. */
function startNode(current, name, file) {
	const life = {child: undefined, startedAt: 0, ends: [], logs: []};
	const [command, ...parameters] = readRunLine();
	const start = () => {
		const child = spawn(
			command === 'node' ? process.execPath : command,
			[...parameters.slice(0, -1), file],
			{
				cwd: root,
				stdio: ['ignore', 'pipe', 'pipe'],
				env: {PATH: process.env.PATH, HOME: process.env.HOME},
			},
		);
		current.children.add(child);
		life.child = child;
		life.startedAt = Date.now();
		const keep = line => {
			life.logs.push(line);
			if (/process failed|node failed/v.test(line)) {
				current.record(`${name} says: ${line}`);
			}
		};

		createInterface({input: child.stdout}).on('line', keep);
		createInterface({input: child.stderr}).on('line', keep);
		child.once('exit', (code, signal) => {
			current.children.delete(child);
			life.ends.push({code, signal, at: Date.now()});
			current.record(`${name} ended: code ${code}, signal ${signal}`);
			setTimeout(start, restartDelayMilliseconds);
		});
	};

	start();
	return {life};
}

async function get(host, port, route) {
	return new Promise(resolve => {
		const request = sendRequest({host, port, path: route, agent: false}, response => {
			let body = '';
			response.setEncoding('utf8');
			response.on('data', chunk => {
				body += chunk;
			});
			response.once('end', () => resolve({status: response.statusCode, body}));
			response.once('error', () => resolve({status: 0, body}));
		});
		request.once('error', () => resolve({status: 0, body: ''}));
		request.end();
	});
}

async function poll(isDone, what) {
	const until = Date.now() + readyTimeoutMilliseconds;
	while (!(await isDone())) {
		if (Date.now() > until) {
			throw new Error(`${what} in ${readyTimeoutMilliseconds} ms`);
		}

		await sleep(50);
	}
}

export async function isReady(ip) {
	const {status} = await get(ip, ports.ready, '/ready');
	return status === 200;
}

export async function waitUntilReady(ip) {
	await poll(async () => isReady(ip), 'the node did not become ready');
}

/** Reads the node's state at its address for metrics. */
export async function readState(ip) {
	const {status, body} = await get(ip, 9464, '/state');
	return status === 200 ? JSON.parse(body) : undefined;
}

export async function waitUntilKnown(ip, count) {
	await poll(async () => {
		const state = await readState(ip);
		const known = (state?.members ?? []).filter(({service}) => service !== undefined);
		return known.length >= count;
	}, 'the node did not learn of all servers');
}

/** A config of the installation: a host with one route for each given entry. */
export function createConfig(version, routes, more = {}) {
	const services = [...new Set(routes.map(({service}) => service))];
	return {
		version: `r${version}`,
		services: services.map(name => ({
			name,
			'health-path': '/health',
			'max-conns': 220,
		})),
		limits: {
			'max-header-bytes': 16_384,
			'max-body-bytes': 8_388_608,
			'header-timeout-ms': 5000,
			'idle-timeout-ms': 20_000,
		},
		hosts: [
			{
				host: 'hulo84.example',
				paths: routes.map(route => ({
					'target-latency-ms': 400,
					'timeout-ms': 1000,
					priority: 1,
					'max-attempts': 2,
					...route,
				})),
			},
		],
		...more,
	};
}
