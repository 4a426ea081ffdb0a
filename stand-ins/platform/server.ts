/**
 * A stand-in for a server on the platform: it announces itself to its node, tells its load and
 * speed, runs requests for a while, and can drain, end, misbehave, or reset connections in the
 * middle.
 */
import {
	createServer,
	request as sendRequest,
	type IncomingMessage,
	type Server,
	type ServerResponse,
} from 'node:http';

export type StandInPlatformServerOptions = {
	readonly id: string;
	readonly service: string;
	readonly slots: number;
	readonly workMilliseconds: number;
};

/** How a server treats the requests that it gets. */
export const serverBehaviours = {
	normal: 'well',
	/** Work takes five times as long. */
	slow: 'slow',
	/** Says that it did not run the request. */
	shed: 'shed',
	/** Runs the request and answers with a failure. */
	fail: 'fail',
	/** Runs the request and breaks the answer off. */
	breakOff: 'break-off',
	/** Runs the request and answers in the name of another. */
	confuse: 'confuse',
	/** Runs the request and never answers. */
	mute: 'mute',
} as const;

export type ServerBehaviour = (typeof serverBehaviours)[keyof typeof serverBehaviours];

/** A request as the server got it. */
export type ReceivedRequest = {
	readonly requestId: string;
	readonly at: number;
	readonly originService: string;
	readonly deadlineMilliseconds: number;
	readonly target: string;
};

export type StandInPlatformServer = {
	/** The caller binds it. */
	readonly server: Server;
	readonly receivedRequests: ReceivedRequest[];
	/** Says what it is at its node's announcement address, and again and again. */
	readonly startHeartbeats: (host: string, port: number, address: string) => void;
	/** Says that it drains; resolves with the status of the answer. */
	readonly drain: () => Promise<number>;
	/** Says that it ends; resolves with the status of the answer. */
	readonly deregister: () => Promise<number>;
	readonly setBehaviour: (behaviour: ServerBehaviour) => void;
	/** Resets connections in the middle of requests whose path contains this. */
	readonly resetConnectionsOnPath: (path: string) => void;
	/** Ends at once; resolves when its port is free. */
	readonly close: () => Promise<void>;
};

const heartbeatMilliseconds = 200;
const usualSpeed = 100;
const slowFactor = 5;

/** @returns a server that has not announced itself */
export function createStandInPlatformServer(
	options: StandInPlatformServerOptions,
): StandInPlatformServer {
	const seen: ReceivedRequest[] = [];
	const born = Date.now();
	const state = {
		sequence: 0,
		running: 0,
		reset: '',
		behaviour: serverBehaviours.normal as ServerBehaviour,
		place: undefined as Place | undefined,
	};
	let timer: NodeJS.Timeout | undefined;

	function run(request: IncomingMessage, response: ServerResponse): void {
		const requestId = String(request.headers['x-request-id']);
		request.resume();
		if (state.behaviour === serverBehaviours.shed) {
			response.writeHead(503, {'x-request-id': requestId, 'x-not-executed': 'full'});
			response.end();
			return;
		}

		seen.push({
			requestId,
			at: Date.now(),
			originService: String(request.headers['x-caller-service']),
			deadlineMilliseconds: Number(request.headers['x-request-deadline']),
			target: String(request.headers['x-target-instance']),
		});
		state.running += 1;
		const factor = state.behaviour === serverBehaviours.slow ? slowFactor : 1;
		setTimeout(() => {
			state.running -= 1;
			if (state.reset !== '' && request.url!.includes(state.reset)) {
				request.socket.resetAndDestroy();
				return;
			}

			answer(requestId, response);
		}, options.workMilliseconds * factor);
	}

	function answer(requestId: string, response: ServerResponse): void {
		const {behaviour} = state;
		if (behaviour === serverBehaviours.mute) {
			return;
		}

		const id = behaviour === serverBehaviours.confuse ? `${requestId}-other` : requestId;
		const body = `answer to ${id}`;
		response.writeHead(behaviour === serverBehaviours.fail ? 500 : 200, {
			'x-request-id': id,
			'x-response-seal': `seal-${id}`,
			'x-instance-load': describeLoad(),
			'content-length': body.length,
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
		return `${state.running},0,${options.slots},${usualSpeed}`;
	}

	async function beat(status: 'ready' | 'draining'): Promise<number> {
		const {place} = state;
		if (place === undefined) {
			return 0;
		}

		state.sequence += 1;
		return tell(place, `/Instances.Heartbeat/${options.id}`, {
			addr: place.address,
			born,
			info: {
				service: options.service,
				version: 'v1',
				zone: 'a',
				capacity: options.slots,
			},
			status: {state: status, sequence: state.sequence, 'warmup-ms': 0},
		});
	}

	const server = createServer((request, response) => {
		if (request.url === '/health') {
			response.writeHead(200, {
				'x-instance-id': options.id,
				'x-instance-load': describeLoad(),
				'content-length': 0,
			});
			response.end();
			return;
		}

		run(request, response);
	});
	return {
		server,
		receivedRequests: seen,
		startHeartbeats(host, port, address) {
			state.place = {host, port, address};
			void beat('ready');
			timer = setInterval(() => {
				void beat('ready');
			}, heartbeatMilliseconds);
		},
		async drain() {
			clearInterval(timer);
			return beat('draining');
		},
		async deregister() {
			clearInterval(timer);
			return state.place === undefined
				? 0
				: tell(state.place, `/Instances.Deregister/${options.id}`, {});
		},
		setBehaviour(behaviour) {
			state.behaviour = behaviour;
		},
		resetConnectionsOnPath(path) {
			state.reset = path;
		},
		async close() {
			clearInterval(timer);
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

/** Sends a message to the node; status 0 stands for one that was not answered. */
async function tell({host, port}: Place, path: string, body: unknown): Promise<number> {
	return new Promise(resolve => {
		const request = sendRequest(
			{host, port, method: 'POST', path, agent: false},
			response => {
				response.resume();
				resolve(response.statusCode!);
			},
		);
		request.on('error', () => {
			resolve(0);
		});
		request.end(JSON.stringify(body));
	});
}

type Place = {readonly host: string; readonly port: number; readonly address: string};
