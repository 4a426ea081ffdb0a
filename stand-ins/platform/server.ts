/**
 * A stand-in for a server on the platform. It sends heartbeats to its node, reports its load and
 * speed, and takes a configured time to process a request. It can drain, deregister, misbehave, or
 * reset connections while it processes a request.
 */
import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import {postToNode, type NodeAddress} from './post-to-node.js';
import {
	serverBehaviours,
	type AnswerHead,
	type IsCrashing,
	type ReceivedRequest,
	type ServerBehaviour,
	type StandInNotice,
	type StandInPlatformServer,
	type StandInPlatformServerOptions,
	type WriteRaw,
} from './server-interface.js';

export {
	serverBehaviours,
	type ServerBehaviour,
	type StandInPlatformServer,
} from './server-interface.js';

const defaultHeartbeatMilliseconds = 200;
const normalSpeed = 100;
const slowFactor = 5;

/** @returns a server that does not send heartbeats yet */
export function createStandInPlatformServer(
	options: StandInPlatformServerOptions,
): StandInPlatformServer {
	const receivedRequests: ReceivedRequest[] = [];
	const crashes: number[] = [];
	const state = {
		id: options.id,
		born: Date.now(),
		isDown: false,
		backAt: undefined as NodeJS.Timeout | undefined,
		isCrashing: undefined as
			{readonly test: IsCrashing; readonly backAfter: number} | undefined,
		sequence: 0,
		running: 0,
		resetPath: '',
		isHealthHidden: false,
		behaviour: serverBehaviours.normal as ServerBehaviour,
		node: undefined as NodeAddress | undefined,
		writeRaw: undefined as WriteRaw | undefined,
		answerHead: undefined as AnswerHead | undefined,
		writeHealthRaw: undefined as WriteRaw | undefined,
	};
	let statedNotice: StandInNotice = {};
	let coldUntil: number | undefined;
	let timer: NodeJS.Timeout | undefined;

	function handleRequest(request: IncomingMessage, response: ServerResponse): void {
		const requestId = String(request.headers['x-request-id']);
		if (state.answerHead?.(request, requestId)) {
			return;
		}

		crashAfterBody(request);
		if (state.behaviour === serverBehaviours.shed) {
			response.writeHead(503, {
				'x-request-id': requestId,
				'x-not-executed': 'full',
				...listNoticeHeaders(),
			});
			response.end();
			return;
		}

		receivedRequests.push({
			requestId,
			path: request.url!,
			at: Date.now(),
			originService: String(request.headers['x-caller-service']),
			deadlineMilliseconds: Number(request.headers['x-request-deadline']),
			target: String(request.headers['x-target-instance']),
		});
		state.running += 1;
		const factor = state.behaviour === serverBehaviours.slow ? slowFactor : 1;
		setTimeout(() => {
			state.running -= 1;
			if (state.resetPath !== '' && request.url!.includes(state.resetPath)) {
				request.socket.resetAndDestroy();
				return;
			}

			respond(requestId, response);
		}, options.workMilliseconds * factor);
	}

	/** Reads the body, and crashes in the middle of the work if the request is of that kind. */
	function crashAfterBody(request: IncomingMessage): void {
		if (state.isCrashing === undefined) {
			request.resume();
			return;
		}

		const {test, backAfter} = state.isCrashing;
		let body = '';
		request.setEncoding('utf8');
		request.on('data', (chunk: string) => {
			body += chunk;
		});
		request.once('end', () => {
			if (test(request.url!, body)) {
				setTimeout(crash, options.workMilliseconds / 2, backAfter);
			}
		});
	}

	function crash(backAfterMilliseconds: number): void {
		if (state.isDown) {
			return;
		}

		crashes.push(performance.now());
		state.isDown = true;
		const {port} = server.address() as AddressInfo;
		server.close();
		server.closeAllConnections();
		state.backAt = setTimeout(() => {
			state.id = `${options.id}-${crashes.length + 1}`;
			state.born = Date.now();
			state.sequence = 0;
			state.running = 0;
			server.listen(port, '127.0.0.1', () => {
				state.isDown = false;
				void sendHeartbeat('ready');
			});
		}, backAfterMilliseconds);
	}

	function respond(requestId: string, response: ServerResponse): void {
		const {behaviour} = state;
		if (behaviour === serverBehaviours.mute) {
			return;
		}

		if (state.writeRaw !== undefined) {
			state.writeRaw(response.req.socket, requestId);
			return;
		}

		if (behaviour === serverBehaviours.endless) {
			response.writeHead(200, {
				'x-request-id': requestId,
				'x-response-seal': `seal-${requestId}`,
				...listNoticeHeaders(),
			});
			writeWithoutEnd(response);
			return;
		}

		const id = behaviour === serverBehaviours.confuse ? `${requestId}-other` : requestId;
		const body = `answer to ${id}`;
		response.writeHead(behaviour === serverBehaviours.fail ? 500 : 200, {
			'x-request-id': id,
			'x-response-seal': `seal-${id}`,
			'x-instance-load': describeLoad(),
			'content-length': body.length,
			...listNoticeHeaders(),
		});
		if (behaviour === serverBehaviours.breakOff) {
			response.write(body.slice(0, -1), () => {
				response.destroy();
			});
			return;
		}

		response.end(body);
	}

	function describeLoad(): string {
		return `${state.running},0,${options.slots},${normalSpeed}`;
	}

	function listNoticeHeaders(): Record<string, string> {
		const {requestsPerSecond, isLeaving} = statedNotice;
		return {
			...(requestsPerSecond === undefined
				? {}
				: {'server-limit': String(requestsPerSecond)}),
			...(isLeaving ? {'server-leaving': '1'} : {}),
		};
	}

	function remainingColdMilliseconds(): number {
		return Math.max(0, (coldUntil ?? 0) - Date.now());
	}

	async function sendHeartbeat(status: 'ready' | 'draining'): Promise<number> {
		state.sequence += 1;
		return postHeartbeat(status, state.sequence);
	}

	async function postHeartbeat(
		status: 'ready' | 'draining',
		sequence: number,
	): Promise<number> {
		const {node, id, born} = state;
		if (node === undefined || state.isDown) {
			return 0;
		}

		return postToNode(node, `/Instances.Heartbeat/${id}`, {
			addr: node.address,
			born,
			info: {
				service: options.service,
				version: 'v1',
				zone: 'a',
				capacity: options.slots,
			},
			status: {
				state: status,
				sequence,
				'warmup-ms': remainingColdMilliseconds(),
			},
		});
	}

	const server = createServer((request, response) => {
		if (request.url === '/health') {
			if (state.isHealthHidden) {
				return;
			}

			if (state.writeHealthRaw !== undefined) {
				state.writeHealthRaw(request.socket, '');
				return;
			}

			response.writeHead(200, {
				'x-instance-id': state.id,
				'x-instance-load': describeLoad(),
				'content-length': 0,
				...listNoticeHeaders(),
				...(coldUntil === undefined
					? {}
					: {'x-warmup-remaining': String(remainingColdMilliseconds())}),
			});
			response.end();
			return;
		}

		handleRequest(request, response);
	});
	return {
		server,
		receivedRequests,
		answerRaw(write) {
			state.writeRaw = write;
		},
		answerHead(answer) {
			state.answerHead = answer;
		},
		answerHealthRaw(write) {
			state.writeHealthRaw = write;
		},
		startHeartbeats(host, port, address) {
			state.node = {host, port, address};
			void sendHeartbeat('ready');
			timer = setInterval(() => {
				void sendHeartbeat('ready');
			}, options.heartbeatMilliseconds ?? defaultHeartbeatMilliseconds);
		},
		async drain() {
			clearInterval(timer);
			return sendHeartbeat('draining');
		},
		repeatFirstHeartbeat: async () => postHeartbeat('ready', 1),
		async deregister() {
			clearInterval(timer);
			return state.node === undefined
				? 0
				: postToNode(state.node, `/Instances.Deregister/${state.id}`, {born: state.born});
		},
		setBehaviour(behaviour) {
			state.behaviour = behaviour;
		},
		changeNotice(notice) {
			statedNotice = {...statedNotice, ...notice};
		},
		pauseHeartbeats() {
			clearInterval(timer);
		},
		setHealthHidden(isHidden) {
			state.isHealthHidden = isHidden;
		},
		setCold(milliseconds) {
			coldUntil = Date.now() + milliseconds;
		},
		resetConnectionsOnPath(path) {
			state.resetPath = path;
		},
		crashOn(test, backAfter) {
			state.isCrashing = {test, backAfter};
		},
		crash,
		crashes,
		async close() {
			clearInterval(timer);
			clearTimeout(state.backAt);
			const closed = new Promise<void>(resolve => {
				server.close(() => {
					resolve();
				});
			});
			server.closeAllConnections();
			await closed;
		},
	};
}

/** Writes until the peer closes the connection. */
function writeWithoutEnd(response: ServerResponse): void {
	if (!response.destroyed) {
		response.write('b'.repeat(16_384), () => {
			setImmediate(writeWithoutEnd, response);
		});
	}
}
