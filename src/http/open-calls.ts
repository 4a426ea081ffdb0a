/**
 * The calls that are open on each caller's connection. A connection that turns out malformed may
 * be told `not-run` only while no call is open on it: the caller would take the refusal for the
 * answer to the open call, which may have run.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Duplex} from 'node:stream';

/** What is open on a connection. */
export const connectionStates = {
	/** No call is open: whatever comes next was not run. */
	idle: 'idle',
	/** One call is open, its body is still coming and nothing has been answered. */
	receiving: 'receiving',
	/** Calls are open whose answers must not be mistaken. */
	answering: 'answering',
} as const;

export type ConnectionState = (typeof connectionStates)[keyof typeof connectionStates];

export type OpenCalls = {
	readonly add: (request: IncomingMessage, response: ServerResponse) => void;
	readonly getConnectionState: (connection: Duplex) => ConnectionState;
};

type OpenCall = {readonly request: IncomingMessage; readonly response: ServerResponse};

/** @returns a record without open calls */
export function createOpenCalls(): OpenCalls {
	const callsOf = new WeakMap<Duplex, OpenCall[]>();
	return {
		add(request, response) {
			const connection = request.socket;
			const calls = callsOf.get(connection) ?? [];
			const call = {request, response};
			calls.push(call);
			callsOf.set(connection, calls);
			response.once('close', () => {
				calls.splice(calls.indexOf(call), 1);
			});
		},
		getConnectionState(connection) {
			const calls = callsOf.get(connection) ?? [];
			const [first] = calls;
			if (first === undefined) {
				return connectionStates.idle;
			}

			const isReceiving = !first.request.complete && !first.response.headersSent;
			return calls.length === 1 && isReceiving
				? connectionStates.receiving
				: connectionStates.answering;
		},
	};
}
