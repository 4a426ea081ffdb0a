/**
 * Order of the calls on each caller's connection. Callers may send further requests before the first
 * is answered; responses go back in the order of the requests. Nothing that was sent behind a
 * response that closes the connection is started, since the caller sends it again.
 *
 * Load pattern: callers that send many requests at once over one connection, while the node stops or
 * the caller leaves.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Duplex} from 'node:stream';
import {connectionStates, type ConnectionState} from './open-calls.js';

/** Calls of one connection that run at the same time. */
const maximumRunning = 8;
/** Calls of one connection, running or waiting, from which on no more are read. */
const maximumPending = 32;

export type CallerConnectionsOptions = {
	/** Whether a request may run beside others of its connection, and more than once. */
	readonly isIdempotent: (request: IncomingMessage) => boolean;
	readonly start: (
		request: IncomingMessage,
		response: ServerResponse,
		arrivedAt: number,
	) => void;
	/** Refuses malformed input; called once all calls before it are answered. */
	readonly refuseMalformed: (
		error: Error,
		connection: Duplex,
		state: ConnectionState,
	) => void;
	/** Monotonic time in milliseconds. */
	readonly now: () => number;
};

export type CallerConnections = {
	/** Starts a request, now or after the ones before it; never if the connection closes first. */
	readonly add: (request: IncomingMessage, response: ServerResponse) => void;
	/** To be called before the head of a response is written. */
	readonly prepareResponse: (response: ServerResponse) => void;
	/** Refuses malformed input after the responses to the calls before it. */
	readonly endAfterMalformed: (error: Error, connection: Duplex) => void;
	/** From now on each connection closes after the response to its last started call. */
	readonly drain: () => void;
};

type Call = {
	readonly request: IncomingMessage;
	readonly response: ServerResponse;
	readonly arrivedAt: number;
	isStarted: boolean;
};

type Connection = {
	/** In the order in which they arrived. */
	readonly calls: Call[];
	/** Whether no further call is started. */
	isClosing: boolean;
	malformed: Error | undefined;
};

/**
 * Creates the tracker.
 *
 * @param options how calls are started, and malformed input refused
 * @returns the tracker, without connections
 */
export function createCallerConnections(
	options: CallerConnectionsOptions,
): CallerConnections {
	const connections = new WeakMap<Duplex, Connection>();
	let isDraining = false;

	function findConnection(socket: Duplex): Connection {
		const known = connections.get(socket);
		if (known) {
			return known;
		}

		const created: Connection = {calls: [], isClosing: false, malformed: undefined};
		connections.set(socket, created);
		return created;
	}

	function startNext(connection: Connection): void {
		const {calls} = connection;
		for (const call of calls) {
			if (connection.isClosing) {
				return;
			}

			if (!call.isStarted) {
				if (!mayStart(calls, call)) {
					return;
				}

				startCall(connection, call);
			}
		}
	}

	function startCall(connection: Connection, call: Call): void {
		call.isStarted = true;
		if (isDraining) {
			connection.isClosing = true;
			call.response.shouldKeepAlive = false;
		}

		options.start(call.request, call.response, call.arrivedAt);
	}

	function mayStart(calls: readonly Call[], call: Call): boolean {
		const position = calls.indexOf(call);
		return (
			position === 0 ||
			(position < maximumRunning &&
				calls.slice(0, position + 1).every(({request}) => options.isIdempotent(request)))
		);
	}

	function remove(connection: Connection, call: Call): void {
		const {calls, malformed} = connection;
		const {socket} = call.request;
		calls.splice(calls.indexOf(call), 1);
		if (!socket.writable) {
			connection.isClosing = true;
			return;
		}

		startNext(connection);
		if (malformed !== undefined) {
			if (calls.length === 0) {
				options.refuseMalformed(malformed, socket, connectionStates.idle);
			}

			return;
		}

		if (calls.length < maximumPending && socket.isPaused()) {
			socket.resume();
		}
	}

	return {
		add(request, response) {
			const {socket} = request;
			const connection = findConnection(socket);
			const call: Call = {
				request,
				response,
				arrivedAt: options.now(),
				isStarted: false,
			};
			// While draining, the response to a call before this one closes the connection.
			if (isDraining && connection.calls.some(({response}) => !response.headersSent)) {
				connection.isClosing = true;
			}

			connection.calls.push(call);
			response.once('close', () => {
				remove(connection, call);
			});
			startNext(connection);
			if (connection.calls.length >= maximumPending) {
				socket.pause();
			}
		},
		prepareResponse(response) {
			const connection = connections.get(response.req.socket);
			if (!isDraining || connection === undefined) {
				return;
			}

			const {calls} = connection;
			const position = calls.findIndex(call => call.response === response);
			const isLastStarted = calls.slice(position + 1).every(({isStarted}) => !isStarted);
			if (isLastStarted) {
				connection.isClosing = true;
				response.shouldKeepAlive = false;
			}
		},
		endAfterMalformed(error, socket) {
			const connection = findConnection(socket);
			if (connection.malformed !== undefined) {
				return;
			}

			connection.malformed = error;
			const {calls} = connection;
			const [first] = calls;
			if (first === undefined || !socket.writable) {
				options.refuseMalformed(error, socket, connectionStates.idle);
				return;
			}

			const {request, response} = calls.at(-1)!;
			if (request.complete) {
				socket.pause();
				return;
			}

			// The malformed part is in the body of the last call, which therefore cannot end well.
			const isOnly = calls.length === 1 && !response.headersSent;
			options.refuseMalformed(
				error,
				socket,
				isOnly ? connectionStates.receiving : connectionStates.answering,
			);
		},
		drain() {
			isDraining = true;
		},
	};
}
