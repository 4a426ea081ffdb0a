/**
 * The HTTP listener of the administration API. It is separate from the listeners for calls, so
 * that no request to those reaches the API. Body sizes and request times are bounded; errors are
 * JSON with a kind and a remedy.
 */
import {Buffer} from 'node:buffer';
import {
	createServer,
	type IncomingMessage,
	type Server,
	type ServerResponse,
} from 'node:http';
import {err, ok, type Result} from 'neverthrow';
import {createByteCollector} from '../http/index.js';
import {authenticate, authorize, allTeams, roles, type Identity} from './access.js';
import type {
	AdministrationResponse,
	AdministrationOptions,
	Route,
} from './administration.js';
import {configurationRoutes} from './configuration-routes.js';
import {
	administrationErrorKinds,
	createError,
	type AdministrationError,
} from './error.js';
import {nodeRoutes} from './node-routes.js';

const maximumBodyBytes = 1_048_576;
const requestTimeoutMilliseconds = 10_000;
const headersTimeoutMilliseconds = 5000;
const maximumConnections = 64;
const routes = [...nodeRoutes, ...configurationRoutes];

/** Identity of requests to routes that need no token. */
const anonymousIdentity: Identity = {team: allTeams, role: roles.read};

type HandlerResult = Result<AdministrationResponse, AdministrationError>;

/**
 * Creates the HTTP server of the API without binding it.
 *
 * @param options the parts of the node that the API uses
 */
export function createAdministrationServer(options: AdministrationOptions): Server {
	const server = createServer(
		{
			requestTimeout: requestTimeoutMilliseconds,
			headersTimeout: headersTimeoutMilliseconds,
		},
		(request, response) => {
			void respond(options, request, response);
		},
	);
	server.maxConnections = maximumConnections;
	return server;
}

async function respond(
	options: AdministrationOptions,
	request: IncomingMessage,
	response: ServerResponse,
): Promise<void> {
	let result: HandlerResult;
	try {
		result = await handleRequest(options, request);
	} catch (error) {
		const reason = error instanceof Error ? error.message : 'unknown reason';
		const message = `the request failed (${reason}); check the state dump and try again`;
		result = err(createError(administrationErrorKinds.internal, message));
	}

	send(response, result);
}

async function handleRequest(
	options: AdministrationOptions,
	request: IncomingMessage,
): Promise<HandlerResult> {
	const url = URL.parse(request.url ?? '/', 'http://administration');
	if (url === null) {
		const message = 'the URL is malformed; see the administration page for the paths';
		return err(createError(administrationErrorKinds.malformed, message));
	}

	const found = findRoute(request.method ?? 'GET', url.pathname);
	if (found.isErr()) {
		return err(found.error);
	}

	const {route, name} = found.value;
	const identity = authenticateForRoute(options, route, request.headers.authorization);
	if (identity.isErr()) {
		return err(identity.error);
	}

	const body = await readBody(request);
	if (body.isErr()) {
		return err(body.error);
	}

	return route.handle(options, {
		identity: identity.value,
		name,
		query: url.searchParams,
		headers: request.headers,
		body: body.value,
	});
}

function authenticateForRoute(
	options: AdministrationOptions,
	route: Route,
	authorization: string | undefined,
): Result<Identity, AdministrationError> {
	const {role} = route;
	if (role === undefined) {
		return ok(anonymousIdentity);
	}

	return authenticate(options.tokens, authorization).andThen(identity =>
		authorize(identity, role),
	);
}

type RouteMatch = {readonly route: Route; readonly name: string};

function findRoute(
	method: string,
	pathname: string,
): Result<RouteMatch, AdministrationError> {
	const matches = routes.flatMap(route => {
		const name = matchPath(route.path, pathname);
		return name === undefined ? [] : [{route, name}];
	});
	const match = matches.find(({route}) => route.method === method);
	if (match !== undefined) {
		return ok(match);
	}

	if (matches.length > 0) {
		const methods = matches.map(({route}) => route.method).join(' or ');
		const message = `${method} is not supported at this path; use ${methods}`;
		return err(createError(administrationErrorKinds.methodNotAllowed, message));
	}

	const message = 'the path does not exist; see the administration page for the paths';
	return err(createError(administrationErrorKinds.notFound, message));
}

/** Returns the segment that matched `:name`; empty for a pattern without it. */
function matchPath(pattern: string, pathname: string): string | undefined {
	const patternSegments = pattern.split('/');
	const pathSegments = pathname.split('/');
	const isMatch =
		patternSegments.length === pathSegments.length &&
		patternSegments.every(
			(segment, index) => segment === ':name' || segment === pathSegments[index],
		);
	return isMatch ? (pathSegments[patternSegments.indexOf(':name')] ?? '') : undefined;
}

async function readBody(
	request: IncomingMessage,
): Promise<Result<string, AdministrationError>> {
	const collector = createByteCollector();
	// The connection is still needed to respond to a body that is too large.
	const chunkIterator = request.iterator({destroyOnReturn: false});
	for await (const chunk of chunkIterator as AsyncIterable<Uint8Array>) {
		collector.add(chunk);
		if (collector.byteLength() > maximumBodyBytes) {
			const message = `the body exceeds ${maximumBodyBytes} bytes; send a smaller one`;
			return err(createError(administrationErrorKinds.bodyTooLarge, message));
		}
	}

	return ok(Buffer.from(collector.take()).toString('utf8'));
}

function send(response: ServerResponse, result: HandlerResult): void {
	if (result.isErr()) {
		const {status, kind, message, details} = result.error;
		const isTooLarge = kind === administrationErrorKinds.bodyTooLarge;
		if (isTooLarge) {
			response.setHeader('connection', 'close');
		}

		sendJson(response, status, {error: {kind, message, ...details}});
		return;
	}

	const {value} = result;
	if ('json' in value) {
		sendJson(response, value.status, value.json);
		return;
	}

	response.writeHead(value.status, {'content-type': value.contentType});
	response.end(value.text);
}

function sendJson(response: ServerResponse, status: number, value: unknown): void {
	const body = `${JSON.stringify(value, undefined, 2)}\n`;
	response.writeHead(status, {'content-type': 'application/json'});
	response.end(body);
}
