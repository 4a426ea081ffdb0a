/* eslint-disable no-await-in-loop -- clients and servers act one step after the other */
/**
 * One server of two spoils the status line of a few answers. Clients on kept connections send requests to
 * all machines. The rule is broken if, of the requests that ran at sound servers, more than three
 * ended at one machine with a closed connection and no answer.
 */
import {Agent} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {createConfig, isTroubled, runCase, send, startMesh} from '../support/mesh.js';

const zones = [
	{zone: 'flanders-ghent', region: 'flanders'},
	{zone: 'wallonia-namur', region: 'wallonia'},
];
const services = ['check-engine', 'results-portal', 'results-portal', 'results-portal'];
const workMilliseconds = {'/fingerprint/1': 38, '/match/1': 133, '/check/1': 171};
const clientsPerMachine = 10;
const pauseMilliseconds = 300;
const playMilliseconds = 34_000;
/** Of the answers of the faulty server, one in so many is spoiled: 0.03. */
const answersPerSpoiledOne = 34;
/** The server is faulty for 5 s at a time. */
const faultyMilliseconds = 5000;
const faultyFrom = [4000, 14_000, 24_000];
const allowedLosses = 3;
/** What a client sends in turn. */
const turns = [
	{route: '/check/1', method: 'POST'},
	...Array.from({length: 6}, () => ({route: '/match/1', method: 'GET'})),
	...Array.from({length: 3}, () => ({route: '/fingerprint/1', method: 'GET'})),
];

await runCase(import.meta.dirname, async current => {
	const {machines} = await startMesh(current, {
		machines: services.flatMap(service => zones.map(zone => ({...zone, service}))),
		servers: {work: ({url}) => workMilliseconds[url]},
		config: createConfig(1, [
			{
				name: 'match-lookup',
				prefix: '/match/',
				kind: 'idempotent',
				service: 'results-portal',
				'target-latency-ms': 847,
				'timeout-ms': 3175,
			},
			{
				name: 'fingerprint-fetch',
				prefix: '/fingerprint/',
				kind: 'idempotent',
				service: 'check-engine',
				'target-latency-ms': 197,
				'timeout-ms': 656,
			},
			{
				name: 'check-submit',
				prefix: '/check/',
				kind: 'non_idempotent',
				service: 'check-engine',
				'target-latency-ms': 1052,
				'timeout-ms': 4207,
			},
		]),
	});
	const [faulty, ...sound] = machines;
	const startedAt = Date.now();
	const isFaultyNow = () =>
		isTroubled &&
		faultyFrom.some(from => {
			const since = Date.now() - startedAt - from;
			return since >= 0 && since < faultyMilliseconds;
		});
	let answers = 0;
	let spoiled = 0;
	faulty.server.state.spoil = ({request, response, answer}) => {
		answers += isFaultyNow() ? 1 : 0;
		if (!isFaultyNow() || answers % answersPerSpoiledOne !== 0) {
			return false;
		}

		spoiled += 1;
		const id = answer.headers['x-request-id'];
		current.record(`spoil the answer to ${id}`);
		request.resume();
		response.socket.end(
			`HTTP/1.1 000 OK\r\nX-Request-Id: ${id}\r\nContent-Length: 0\r\n\r\n`,
		);
		return true;
	};

	const results = [];
	const play = async (machine, client) => {
		const agent = new Agent({keepAlive: true, maxSockets: 1});
		for (let count = 0; Date.now() < startedAt + playMilliseconds; count += 1) {
			const {route, method} = turns[(count + client) % turns.length];
			const id = `${machine.name}-${client}-${count}-x`;
			const result = await send(machine.ip, {id, agent, route, method, deadline: 3000});
			results.push({...result, machine: machine.name});
			await sleep(pauseMilliseconds);
		}

		agent.destroy();
	};

	const clients = Array.from({length: clientsPerMachine}, (_, client) => client);
	await Promise.all(
		machines.flatMap(machine => clients.map(async client => play(machine, client))),
	);
	const ran = new Set(sound.flatMap(({server}) => server.runs.map(({id}) => id)));
	const lost = results.filter(
		({id, status, isReused}) => status === 0 && isReused && ran.has(id),
	);
	const losses = machines.map(
		({name}) => lost.filter(({machine}) => machine === name).length,
	);
	let ends = 0;
	for (const {life} of machines) {
		ends += life.ends.length;
	}

	const summary = `${results.length} requests, ${spoiled} spoiled answers, ${ends} processes of the system ended, requests from kept connections that ran at sound servers and got no answer, by machine: ${losses.join(', ')}`;
	if (ran.size === 0) {
		await current.notRun(summary);
	}

	await (Math.max(...losses) > allowedLosses
		? current.broken(summary)
		: current.held(summary));
});
