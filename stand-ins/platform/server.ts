/**
 * A stand-in for a server on the platform. It sends heartbeats to its node, reports its load and
 * speed, and takes a configured time to process a request. It can drain, deregister, misbehave, or
 * reset connections while it processes a request.
 */
import {
	createServer,
	type IncomingMessage,
	type Server,
	type ServerResponse,
} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import {postToNode, type NodeAddress} from './post-to-node.js';

export type StandInPlatformServerOptions = {
	readonly id: string;
	readonly service: string;
	readonly slots: number;
	readonly workMilliseconds: number;
	/** Interval of the heartbeats; 200 ms if absent. */
	readonly heartbeatMilliseconds?: number | undefined;
};

/** Writes a response to a connection, from the id of the request. */
export type WriteRaw = (socket: Socket, requestId: string) => void;

/**
 * Answers a request whose body has not been read yet, and reads on by itself if it is to be read; false if the request
 * is to be handled as usual.
 */
export type AnswerHead = (request: IncomingMessage, requestId: string) => boolean;

/** How a server handles requests. */
export const serverBehaviours = {
	normal: 'well',
	/** Processing takes five times as long. */
	slow: 'slow',
	/** Rejects the request with the header that says it was not executed. */
	shed: 'shed',
	/** Runs the request and responds with status 500. */
	fail: 'fail',
	/** Runs the request and closes the connection before the last byte of the response. */
	breakOff: 'break-off',
	/** Runs the request and responds with the id of another request. */
	confuse: 'confuse',
	/** Runs the request and sends a body without end. */
	endless: 'endless',
	/** Runs the request and never responds. */
	mute: 'mute',
} as const;

export type ServerBehaviour = (typeof serverBehaviours)[keyof typeof serverBehaviours];

/** What a server states about itself in its responses. */
export type StandInNotice = {
	/** Requests a second that it takes; no limit if undefined. */
	readonly requestsPerSecond?: number | undefined;
	readonly isLeaving?: boolean;
};

/** Tells whether the server crashes when it runs a request. */
export type IsCrashing = (path: string, body: string) => boolean;

/** A request that the server started to run. */
export type ReceivedRequest = {
	readonly requestId: string;
	readonly path: string;
	readonly at: number;
	readonly originService: string;
	readonly deadlineMilliseconds: number;
	readonly target: string;
};

export type StandInPlatformServer = {
	/** The HTTP server; the caller makes it listen. */
	readonly server: Server;
	readonly receivedRequests: ReceivedRequest[];
	/**
	 * Writes these bytes in place of each response to a request that is run; undefined for normal responses. The
	 * connection stays as it is.
	 */
	readonly answerRaw: (write: WriteRaw | undefined) => void;
	/** Runs each request from its head on, before its body is read; undefined for normal handling. */
	readonly answerHead: (answer: AnswerHead | undefined) => void;
	/** Writes these bytes in place of each health response; undefined for normal ones. */
	readonly answerHealthRaw: (write: WriteRaw | undefined) => void;
	/** Sends a heartbeat to the node's announcement listener, now and at each interval. */
	readonly startHeartbeats: (host: string, port: number, address: string) => void;
	/** Reports that it drains; resolves with the status of the response. */
	readonly drain: () => Promise<number>;
	/** Sends once more the heartbeat that came first, as a delayed one would arrive. */
	readonly repeatFirstHeartbeat: () => Promise<number>;
	/** Deregisters at the node; resolves with the status of the response. */
	readonly deregister: () => Promise<number>;
	readonly setBehaviour: (behaviour: ServerBehaviour) => void;
	/**
	 * States a limit on the request rate, or that the server leaves, in each response. What is not
	 * given stays as it was.
	 */
	readonly changeNotice: (notice: StandInNotice) => void;
	/** Sends no heartbeats from now on. */
	readonly pauseHeartbeats: () => void;
	/** Leaves the health path unanswered. */
	readonly setHealthHidden: (isHidden: boolean) => void;
	/** States for a time, in its health responses and heartbeats, that it is cold. */
	readonly setCold: (milliseconds: number) => void;
	/** Resets the connection, after processing, of requests whose path contains this. */
	readonly resetConnectionsOnPath: (path: string) => void;
	/** Crashes while it runs such a request, and is back after a time under another id. */
	readonly crashOn: (isCrashing: IsCrashing, backAfterMilliseconds: number) => void;
	/** Crashes now, as on such a request. */
	readonly crash: (backAfterMilliseconds: number) => void;
	/** Monotonic times at which it crashed, in milliseconds. */
	readonly crashes: readonly number[];
	/** Stops immediately; resolves when its port is free. */
	readonly close: () => Promise<void>;
};

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
