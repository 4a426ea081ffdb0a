/**
 * The listener for other nodes: attempts for this node's gate, and the active routes for nodes that
 * have older ones. It acknowledges an attempt at once, so that the sender notices a dead connection.
 */
import {
	createServer,
	type IncomingMessage,
	type Server,
	type ServerResponse,
} from 'node:http';
import type {RunningAttempt} from '../call/index.js';
import {
	findRequestHeadFault,
	refuseMalformedHead,
	refuseNonPeer,
	writeAttemptResult,
} from '../http/index.js';
import type {InboundLink} from '../waiting/index.js';
import type {AwaitedRoutes} from './awaited-routes.js';
import type {RelayAttempt} from './call.js';
import {buildResponseHeaders, parsePeerAttempt} from './peer-headers.js';
import {receiveBody} from './receive-body.js';

/** Path of the active routes. */
export const routesPath = '/foxtailtide/routes';
/** Version above which the asking node wants the routes; without it, it gets any version. */
export const newerThanHeader = 'foxtailtide-newer-than';
/** How long the asking node waits for routes that the answering one lacks too, in milliseconds. */
export const waitHeader = 'foxtailtide-wait-ms';
/** What the answering node knows of the table's clock, and its newest proof of the routes. */
export const storeClockHeader = 'foxtailtide-store-clock';

/** The active routes as other nodes get them. */
export type PeerRoutes = {readonly version: number; readonly text: string};

export type PeerListenerOptions = {
	/** Runs an attempt at this node's gate. */
	readonly run: (attempt: RelayAttempt) => RunningAttempt;
	/** The active routes; undefined while there are none. */
	readonly routes: () => PeerRoutes | undefined;
	/** The questions that wait for routes. */
	readonly awaitedRoutes: AwaitedRoutes;
	/** Value of the header for the table's clock; undefined where no node needs it. */
	readonly describeStoreClock: () => string | undefined;
	/** The link over which bodies reach this VM. */
	readonly inboundLink: InboundLink;
	/** Monotonic time in milliseconds. */
	readonly now: () => number;
};

const maximumWaitMilliseconds = 1000;
/** Limit for the caller's headers together with those of the attempt. */
const maximumHeaderBytes = 131_072;

/**
 * Creates the listener.
 *
 * @param options the gate, the routes and the clock
 * @returns the listener, not yet bound
 */
export function createRelayPeerListener(options: PeerListenerOptions): Server {
	return createServer(
		{
			// Only the ingress closes idle connections; a close from here could race with a request.
			keepAliveTimeout: 0,
			requestTimeout: 0,
			maxHeaderSize: maximumHeaderBytes,
			noDelay: true,
		},
		(request, response) => {
			if (request.url === routesPath) {
				void sendRoutes(request, response, options);
				return;
			}

			handleAttempt(request, response, options);
		},
	);
}

async function sendRoutes(
	request: IncomingMessage,
	response: ServerResponse,
	options: PeerListenerOptions,
): Promise<void> {
	const {routes, awaitedRoutes} = options;
	const newerThan = Number(request.headers[newerThanHeader] ?? 0);
	const wait = Math.min(
		maximumWaitMilliseconds,
		Number(request.headers[waitHeader] ?? 0),
	);
	const isLacking = (routes()?.version ?? 0) <= newerThan;
	if (isLacking && wait > 0 && !awaitedRoutes.isFull()) {
		response.writeProcessing();
		await awaitedRoutes.wait(newerThan, wait);
	}

	const storeClock = options.describeStoreClock();
	if (storeClock !== undefined) {
		response.setHeader(storeClockHeader, storeClock);
	}

	const active = routes();
	if (active === undefined || active.version <= newerThan) {
		response.writeHead(404, {'content-length': '0'});
		response.end();
		return;
	}

	response.writeHead(200, {'content-type': 'application/json'});
	response.end(active.text);
}

function handleAttempt(
	request: IncomingMessage,
	response: ServerResponse,
	options: PeerListenerOptions,
): void {
	const fault = findRequestHeadFault(request);
	if (fault !== undefined) {
		refuseMalformedHead(response, fault);
		return;
	}

	// The time left was stated in the head; what the body takes to arrive is part of it.
	const arrivedAt = options.now();
	response.writeProcessing();
	receiveBody(request, options.inboundLink, body => {
		const {method, url, rawHeaders} = request;
		const head = {method: method!, path: url!, rawHeaders};
		const attempt = parsePeerAttempt(head, body, arrivedAt);
		if (attempt === undefined) {
			refuseNonPeer(response);
			return;
		}

		const running = options.run(attempt);
		response.once('close', running.cancel);
		void running.result.then(result => {
			response.removeListener('close', running.cancel);
			writeAttemptResult(response, result, buildResponseHeaders(attempt.id));
		});
	});
}
