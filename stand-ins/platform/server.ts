/**
 * A stand-in for a server on the platform: it announces itself to its node, tells its load and
 * speed, runs requests for a while, and can drain, slow down, or reset connections in the middle.
 */
import {
	createServer,
	request as sendRequest,
	type IncomingMessage,
	type Server,
	type ServerResponse,
} from 'node:http';

export type StandInServerOptions = {
	readonly id: string;
	readonly service: string;
	readonly slots: number;
	readonly workMilliseconds: number;
};

/** A request as the server got it. */
export type SeenRequest = {
	readonly requestId: string;
	readonly at: number;
	readonly originService: string;
	readonly deadlineMilliseconds: number;
	readonly target: string;
};

export type StandInPlatformServer = {
	/** The caller binds it. */
	readonly server: Server;
	readonly seen: SeenRequest[];
	/** Says what it is at its node's announcement address, and again and again. */
	readonly announceTo: (host: string, port: number, address: string) => void;
	/** Says that it drains; resolves with the status of the answer. */
	readonly drain: () => Promise<number>;
	/** Resets connections in the middle of requests whose path contains this. */
	readonly resetOn: (path: string) => void;
	readonly close: () => void;
};

const heartbeatMilliseconds = 200;
const usualSpeed = 100;

/** @returns a server that has not announced itself */
export function createPlatformServer(
	options: StandInServerOptions,
): StandInPlatformServer {
	const seen: SeenRequest[] = [];
	const born = Date.now();
	const state = {
		sequence: 0,
		running: 0,
		reset: '',
		place: undefined as Place | undefined,
	};
	let timer: NodeJS.Timeout | undefined;

	function run(request: IncomingMessage, response: ServerResponse): void {
		const requestId = String(request.headers['x-request-id']);
		seen.push({
			requestId,
			at: Date.now(),
			originService: String(request.headers['x-caller-service']),
			deadlineMilliseconds: Number(request.headers['x-request-deadline']),
			target: String(request.headers['x-target-instance']),
		});
		state.running += 1;
		request.resume();
		setTimeout(() => {
			state.running -= 1;
			if (state.reset !== '' && request.url!.includes(state.reset)) {
				request.socket.resetAndDestroy();
				return;
			}

			const body = `answer to ${requestId}`;
			response.writeHead(200, {
				'x-request-id': requestId,
				'x-response-seal': `seal-${requestId}`,
				'x-instance-load': describeLoad(),
				'content-length': body.length,
			});
			response.end(body);
		}, options.workMilliseconds);
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
		const body = JSON.stringify({
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
		return new Promise(resolve => {
			const request = sendRequest(
				{
					host: place.host,
					port: place.port,
					method: 'POST',
					path: `/Instances.Heartbeat/${options.id}`,
					agent: false,
				},
				response => {
					response.resume();
					resolve(response.statusCode!);
				},
			);
			request.on('error', () => {
				resolve(0);
			});
			request.end(body);
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
		seen,
		announceTo(host, port, address) {
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
		resetOn(path) {
			state.reset = path;
		},
		close() {
			clearInterval(timer);
			server.close();
			server.closeAllConnections();
		},
	};
}

type Place = {readonly host: string; readonly port: number; readonly address: string};
