/**
 * The callers of the soak. Each keeps one connection to one node until that node's process ends.
 * Some send only while the node is ready, the others ignore its readiness. The responses are
 * recorded for the checks.
 */
import {Agent, request as sendRequest} from 'node:http';
import {sendNodeRequest} from '../test/support/relay-mesh.js';
import type {SentRequest} from './checks.js';
import {pause, type SoakNode} from './soak-node.js';

/** Deadline of the callers' requests, in milliseconds; equal to the timeout of the routes. */
export const deadlineMilliseconds = 1500;
/** Time after which a caller aborts its request, in milliseconds. */
const abortMilliseconds = 6000;
const minimumPauseMilliseconds = 10;
const maximumPauseMilliseconds = 90;
const readinessCheckMilliseconds = 300;
const failuresUntilNotReady = 2;
/** Pause after a refused connection, in milliseconds. */
const refusedPauseMilliseconds = 100;

export type CallersOptions = {
	readonly nodes: readonly SoakNode[];
	readonly callersPerNode: number;
	readonly random: () => number;
	/** Milliseconds since the start of the run. */
	readonly now: () => number;
	/** Latest version of the configuration in the store. */
	readonly version: () => number;
};

export type Callers = {
	readonly requests: readonly SentRequest[];
	/** Stops the callers after their current requests. */
	readonly stop: () => Promise<void>;
};

type RequestKind = {
	readonly path: string;
	readonly method: string;
	readonly idempotent: boolean;
	readonly sinceVersion: number;
};

/**
 * Starts the callers of every node.
 *
 * @param options the nodes, and the number of callers of each
 * @returns the requests sent so far, and a function that stops the callers
 */
export function startCallers(options: CallersOptions): Callers {
	const requests: SentRequest[] = [];
	const state = {isOver: false, sequence: 0};
	const notReady = new Set<number>();

	async function watchReadiness(node: SoakNode): Promise<void> {
		let failures = 0;
		while (!state.isOver) {
			const {status} = await sendNodeRequest(node.readinessPort, '/ready');
			failures = status === 200 ? 0 : failures + 1;
			if (failures >= failuresUntilNotReady) {
				notReady.add(node.index);
			} else if (status === 200) {
				notReady.delete(node.index);
			}

			await pause(readinessCheckMilliseconds);
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

	async function runCaller(node: SoakNode, respectsReadiness: boolean): Promise<void> {
		const agent = new Agent({keepAlive: true, maxSockets: 1});
		while (!state.isOver) {
			if (respectsReadiness && notReady.has(node.index)) {
				await pause(readinessCheckMilliseconds);
				continue;
			}

			state.sequence += 1;
			const sent = {
				...chooseKind(),
				id: `request-${node.index}-${state.sequence}`,
				node: node.index,
				restartCount: node.restartCount(),
				sentAt: options.now(),
			};
			const answer = await send(agent, node.callersPort, sent);
			if (answer.isConnectionRefused) {
				await pause(refusedPauseMilliseconds);
				continue;
			}

			requests.push({...sent, ...answer, endedAt: options.now()});
			const spread = maximumPauseMilliseconds - minimumPauseMilliseconds;
			await pause(minimumPauseMilliseconds + spread * options.random());
		}

		agent.destroy();
	}

	const running = options.nodes.flatMap(node => [
		watchReadiness(node),
		...Array.from({length: options.callersPerNode}, async (_, index) =>
			runCaller(node, index % 2 === 0),
		),
	]);
	return {
		requests,
		async stop() {
			state.isOver = true;
			await Promise.all(running);
		},
	};
}

type RecordedResponse = Pick<
	SentRequest,
	'status' | 'answeredId' | 'seal' | 'body' | 'outcome' | 'refusal'
> & {
	readonly isConnectionRefused: boolean;
};

async function send(
	agent: Agent,
	port: number,
	{id, path, method}: RequestKind & {readonly id: string},
): Promise<RecordedResponse> {
	return new Promise(resolve => {
		const end = (answer: Partial<RecordedResponse>): void => {
			clearTimeout(timer);
			resolve({
				status: 0,
				answeredId: undefined,
				seal: undefined,
				body: '',
				outcome: undefined,
				isConnectionRefused: false,
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
						refusal: headers['foxtailtide-refusal'] as string | undefined,
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
		}, abortMilliseconds);
		request.on('error', (error: NodeJS.ErrnoException) => {
			end({isConnectionRefused: error.code === 'ECONNREFUSED'});
		});
		request.end();
	});
}
