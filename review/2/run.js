/* eslint-disable no-await-in-loop -- clients and servers act one step after the other */
/**
 * One server spoils the status line of a few answers. Clients on kept connections send requests to
 * all machines. The rule is broken if, of the requests that ran at sound servers, more than three
 * ended at one machine with a closed connection and no answer.
 */
import {Agent} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {createConfig, isTroubled, runCase, send, startMesh} from '../support/mesh.js';

const zones = [
	{zone: 'yvr-a', region: 'lower-mainland'},
	{zone: 'yyj-a', region: 'island'},
];
const services = ['booking-svc', 'avail-svc', 'avail-svc'];
const clientsPerMachine = 12;
const pauseMilliseconds = 100;
const playMilliseconds = 30_000;
/** Of the answers of the faulty server, one in so many is spoiled: 0.03. */
const answersPerSpoiledOne = 34;
/** The server is faulty for 5.5 s at a time. */
const faultyMilliseconds = 5500;
const faultyFrom = [3000, 15_000];
const allowedLosses = 3;
const bookingEvery = 4;

await runCase(import.meta.dirname, async current => {
	const {machines} = await startMesh(current, {
		machines: services.flatMap(service => zones.map(zone => ({...zone, service}))),
		config: createConfig(1, [
			{
				name: 'bay-avail',
				prefix: '/avail/',
				kind: 'idempotent',
				service: 'avail-svc',
			},
			{
				name: 'bay-book',
				prefix: '/book/',
				kind: 'non_idempotent',
				service: 'booking-svc',
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
			const isBooking = count % bookingEvery === 0;
			const id = `${machine.name}-${client}-${count}-x`;
			const result = await send(machine.ip, {
				id,
				agent,
				route: isBooking ? '/book/1' : '/avail/1',
				method: isBooking ? 'POST' : 'GET',
			});
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
