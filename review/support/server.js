/* eslint-disable no-void -- clients and servers act one step after the other */
/**
 * A stand-in for a server of the installation. It runs as many requests at once as it has slots,
 * queues twice as many, and rejects the rest. It announces itself to its node, states its load, and
 * answers with the seal. A hook may spoil an answer.
 */
import {createServer, request as sendRequest} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';

const heartbeatMilliseconds = 1500;
const acknowledgementTimeoutMilliseconds = 1000;
const idleTimeoutMilliseconds = 10_000;
const normalSpeed = 100;
const queuedPerSlot = 2;

/**
 * Creates a server that does not listen yet.
 *
 * @param options its address, the address of its node, service, id and work
 */
export function createServerStandIn(options) {
	const {host, port, control, service, zone, record} = options;
	const slots = options.slots ?? 4;
	const workMilliseconds = options.workMilliseconds ?? 133;
	const runs = [];
	const state = {
		id: options.id,
		born: options.born ?? Date.now(),
		sequence: 0,
		running: 0,
		queue: [],
		timer: undefined,
		spoil: undefined,
	};

	function describeLoad() {
		return `${state.running},${state.queue.length},${slots},${normalSpeed}`;
	}

	function handle(request, response) {
		if (request.url === '/health') {
			response.writeHead(200, {
				'x-instance-id': state.id,
				'x-instance-load': describeLoad(),
				'content-length': '0',
			});
			response.end();
			return;
		}

		const {headers} = request;
		const id = headers['x-request-id'];
		const echo = id === undefined ? {} : {'x-request-id': id};
		const target = headers['x-target-instance'];
		if (target !== undefined && target !== state.id) {
			request.resume();
			response.writeHead(421, {
				'x-instance-id': state.id,
				'content-length': '0',
				...echo,
			});
			response.end();
			return;
		}

		if (id === undefined || state.queue.length >= slots * queuedPerSlot) {
			request.resume();
			response.writeHead(id === undefined ? 400 : 503, {
				'x-not-executed': '1',
				'content-length': '0',
				...echo,
			});
			response.end();
			return;
		}

		state.queue.push({request, response, id});
		startNext();
	}

	function startNext() {
		while (state.running < slots && state.queue.length > 0) {
			const job = state.queue.shift();
			if (!job.request.socket.destroyed) {
				void run(job);
			}
		}
	}

	async function run({request, response, id}) {
		state.running += 1;
		const {headers, method, url} = request;
		const entry = {
			id,
			at: Date.now(),
			method,
			url,
			tenant: headers['x-tenant-id'],
			caller: headers['x-caller-service'],
			key: headers['api-key'],
			bytes: 0,
			server: state.id,
		};
		runs.push(entry);
		record?.(`run ${id} ${method} ${url} at ${state.id}`);
		request.on('data', chunk => {
			entry.bytes += chunk.length;
		});
		request.on('error', () => undefined);
		const answer = {
			status: 200,
			headers: {
				'x-request-id': id,
				'x-response-seal': `seal-${id}`,
				'x-instance-load': describeLoad(),
			},
			body: `answer to ${id}`,
		};
		if (await state.spoil?.({request, response, answer})) {
			state.running -= 1;
			startNext();
			return;
		}

		await sleep(options.work?.(request) ?? workMilliseconds);
		state.running -= 1;
		if (!response.destroyed) {
			response.writeHead(answer.status, {
				...answer.headers,
				'content-length': String(answer.body.length),
			});
			response.end(answer.body);
		}

		startNext();
	}

	async function post(path, body) {
		return new Promise(resolve => {
			const request = sendRequest(
				{...control, method: 'POST', path, agent: false},
				response => {
					response.resume();
					resolve(response.statusCode);
				},
			);
			request.setTimeout(acknowledgementTimeoutMilliseconds, () => request.destroy());
			request.once('error', () => resolve(0));
			request.setHeader('content-type', 'application/json');
			request.end(JSON.stringify(body));
		});
	}

	/** Sends a ping to the node; resolves with the status. */
	async function beat() {
		state.sequence += 1;
		const ping = {
			addr: `${host}:${port}`,
			born: state.born,
			info: {service, version: 'v1', zone, capacity: slots},
			status: {
				state: 'ready',
				sequence: state.sequence,
				'warmup-ms': 0,
			},
		};
		return post(`/Instances.Heartbeat/${state.id}`, ping);
	}

	let server;

	async function listen() {
		server = createServer({keepAliveTimeout: idleTimeoutMilliseconds}, handle);
		await new Promise(resolve => {
			server.listen(port, host, resolve);
		});
	}

	return {
		runs,
		state,
		/** Listens and announces the server from now on. */
		async start() {
			await listen();
			await beat();
			state.timer = setInterval(() => void beat(), heartbeatMilliseconds);
		},
		/** Ends at once, as a process that crashes. */
		crash() {
			clearInterval(state.timer);
			server.closeAllConnections();
			server.close();
			state.queue.length = 0;
		},
		/** Starts again: a new process, which knows nothing of the one before. */
		async startAgain({id = state.id, born = Date.now()} = {}) {
			Object.assign(state, {id, born, sequence: 0, queue: []});
			await listen();
			await beat();
			state.timer = setInterval(() => void beat(), heartbeatMilliseconds);
		},
		close() {
			clearInterval(state.timer);
			server?.closeAllConnections();
			server?.close();
		},
	};
}
