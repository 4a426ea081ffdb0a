/**
 * Tracks the calls in progress on each caller's connection. Malformed input is refused as
 * `not-run` only while no call is in progress on the connection: otherwise the caller would take
 * the refusal for the response to that call, which may have run.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Duplex} from 'node:stream';

/** State of the calls on a connection. */
export const connectionStates = {
	/** No call is in progress: input that follows was not run. */
	idle: 'idle',
	/** One call is in progress; its body is incomplete and no response has been started. */
	receiving: 'receiving',
	/** Calls are in progress whose responses a refusal could be mistaken for. */
	answering: 'answering',
} as const;

export type ConnectionState = (typeof connectionStates)[keyof typeof connectionStates];

export type OpenCalls = {
	readonly add: (request: IncomingMessage, response: ServerResponse) => void;
	readonly getConnectionState: (connection: Duplex) => ConnectionState;
};

type OpenCall = {readonly request: IncomingMessage; readonly response: ServerResponse};

/** Creates a tracker without calls. */
export function createOpenCalls(): OpenCalls {
	const callsByConnection = new WeakMap<Duplex, OpenCall[]>();
	return {
		add(request, response) {
			const connection = request.socket;
			const calls = callsByConnection.get(connection) ?? [];
			const call = {request, response};
			calls.push(call);
			callsByConnection.set(connection, calls);
			response.once('close', () => {
				calls.splice(calls.indexOf(call), 1);
			});
		},
		getConnectionState(connection) {
			const calls = callsByConnection.get(connection) ?? [];
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
