/**
 * The callers of the soak. Each holds one connection to one node and uses it until the process at
 * its other end is gone; some heed the node's readiness, others do not. What each of them saw is
 * kept for the checks.
 */
import {Agent, request as sendRequest} from 'node:http';
import {sendNodeRequest} from '../test/support/relay-mesh.js';
import type {SentRequest} from './checks.js';
import {pause, type SoakNode} from './soak-node.js';

/** Time that a caller gives its requests, in milliseconds; that of the routes. */
export const deadlineMilliseconds = 1500;
/** Bound on the time of an answer, after which a caller gives up listening, in milliseconds. */
const abandonMilliseconds = 6000;
const shortestPauseMilliseconds = 10;
const longestPauseMilliseconds = 90;
const readinessMilliseconds = 300;
const missesUntilAway = 2;
/** Pause after a connection that could not be made, in milliseconds. */
const unreachableMilliseconds = 100;

export type CallersOptions = {
	readonly nodes: readonly SoakNode[];
	readonly callersPerNode: number;
	readonly random: () => number;
	/** Milliseconds of the run's clock. */
	readonly now: () => number;
	/** Version of the configuration that the store has. */
	readonly version: () => number;
};

export type Callers = {
	readonly requests: readonly SentRequest[];
	/** Ends the callers once their last requests have ended. */
	readonly stop: () => Promise<void>;
};

type RequestKind = {
	readonly path: string;
	readonly method: string;
	readonly idempotent: boolean;
	readonly sinceVersion: number;
};

/**
 * Starts the callers of every place.
 *
 * @param options whom they call, and how many they are
 * @returns the callers
 */
export function startCallers(options: CallersOptions): Callers {
	const requests: SentRequest[] = [];
	const life = {isOver: false, sequence: 0};
	const away = new Set<number>();

	async function watchReadiness(place: SoakNode): Promise<void> {
		let misses = 0;
		while (!life.isOver) {
			const {status} = await sendNodeRequest(place.readinessPort, '/ready');
			misses = status === 200 ? 0 : misses + 1;
			if (misses >= missesUntilAway) {
				away.add(place.index);
			} else if (status === 200) {
				away.delete(place.index);
			}

			await pause(readinessMilliseconds);
		}
	}

	function chooseKind(): RequestKind {
		const draw = options.random();
		const version = options.version();
		if (draw < 0.2 && version > 1) {
			const path = `/since-${version}/1`;
			return {path, method: 'GET', idempotent: true, sinceVersion: version};
		}

		return draw < 0.6
			? {path: '/search/1', method: 'GET', idempotent: true, sinceVersion: 0}
			: {path: '/book/1', method: 'POST', idempotent: false, sinceVersion: 0};
	}

	async function call(place: SoakNode, heedsReadiness: boolean): Promise<void> {
		const agent = new Agent({keepAlive: true, maxSockets: 1});
		while (!life.isOver) {
			if (heedsReadiness && away.has(place.index)) {
				await pause(readinessMilliseconds);
				continue;
			}

			life.sequence += 1;
			const sent = {
				...chooseKind(),
				id: `request-${place.index}-${life.sequence}`,
				node: place.index,
				life: place.restartCount(),
				sentAt: options.now(),
			};
			const answer = await send(agent, place.callersPort, sent);
			if (answer.isUnreachable) {
				await pause(unreachableMilliseconds);
				continue;
			}

			requests.push({...sent, ...answer, endedAt: options.now()});
			const spread = longestPauseMilliseconds - shortestPauseMilliseconds;
			await pause(shortestPauseMilliseconds + spread * options.random());
		}

		agent.destroy();
	}

	const running = options.nodes.flatMap(place => [
		watchReadiness(place),
		...Array.from({length: options.callersPerNode}, async (_, index) =>
			call(place, index % 2 === 0),
		),
	]);
	return {
		requests,
		async stop() {
			life.isOver = true;
			await Promise.all(running);
		},
	};
}

type Answer = Pick<SentRequest, 'status' | 'answeredId' | 'seal' | 'body' | 'outcome'> & {
	readonly isUnreachable: boolean;
};

async function send(
	agent: Agent,
	port: number,
	{id, path, method}: RequestKind & {readonly id: string},
): Promise<Answer> {
	return new Promise(resolve => {
		const end = (answer: Partial<Answer>): void => {
			clearTimeout(timer);
			resolve({
				status: 0,
				answeredId: undefined,
				seal: undefined,
				body: '',
				outcome: undefined,
				isUnreachable: false,
				...answer,
			});
		};

		const request = sendRequest(
			{
				agent,
				host: '127.0.0.1',
				port,
				path,
				method,
				headers: {
					host: 'bays.example',
					'x-request-id': id,
					'x-request-deadline': String(deadlineMilliseconds),
				},
			},
			response => {
				const {headers} = response;
				let body = '';
				response.setEncoding('utf8');
				response.on('data', (chunk: string) => {
					body += chunk;
				});
				response.on('end', () => {
					end({
						status: response.statusCode!,
						answeredId: headers['x-request-id'] as string | undefined,
						seal: headers['x-response-seal'] as string | undefined,
						outcome: headers['foxtailtide-outcome'] as string | undefined,
						body,
					});
				});
				response.on('error', () => {
					end({});
				});
			},
		);
		const timer = setTimeout(() => {
			request.destroy();
		}, abandonMilliseconds);
		request.on('error', (error: NodeJS.ErrnoException) => {
			end({isUnreachable: error.code === 'ECONNREFUSED'});
		});
		request.end();
	});
}
