/**
 * The HTTP listener of the administration API. It is a listener of its own: nothing that arrives
 * at the listeners of calls reaches it. Bodies and times are bounded; errors are JSON with a
 * kind and a remedy.
 */
import {Buffer} from 'node:buffer';
import {
	createServer,
	type IncomingMessage,
	type Server,
	type ServerResponse,
} from 'node:http';
import {err, ok, type Result} from 'neverthrow';
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

/** Whoever asks for what anyone may see. */
const anyone: Identity = {team: allTeams, role: roles.read};

type Answer = Result<AdministrationResponse, AdministrationError>;

/**
 * Creates the server of the API; the caller binds it.
 *
 * @param options the parts of the node that it reaches
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
	let answer: Answer;
	try {
		answer = await handle(options, request);
	} catch (error) {
		const reason = error instanceof Error ? error.message : 'unknown reason';
		const message = `the request failed (${reason}); look at the state dump and try again`;
		answer = err(createError(administrationErrorKinds.internal, message));
	}

	send(response, answer);
}

async function handle(
	options: AdministrationOptions,
	request: IncomingMessage,
): Promise<Answer> {
	const url = URL.parse(request.url ?? '/', 'http://administration');
	if (url === null) {
		const message = 'the address is malformed; see the administration page for the paths';
		return err(createError(administrationErrorKinds.malformed, message));
	}

	const found = findRoute(request.method ?? 'GET', url.pathname);
	if (found.isErr()) {
		return err(found.error);
	}

	const {route, name} = found.value;
	const identity = identify(options, route, request.headers.authorization);
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

function identify(
	options: AdministrationOptions,
	route: Route,
	authorization: string | undefined,
): Result<Identity, AdministrationError> {
	const {role} = route;
	if (role === undefined) {
		return ok(anyone);
	}

	return authenticate(options.tokens, authorization).andThen(identity =>
		authorize(identity, role),
	);
}

type FoundRoute = {readonly route: Route; readonly name: string};

function findRoute(
	method: string,
	pathname: string,
): Result<FoundRoute, AdministrationError> {
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
		const message = `${method} is not known here; use ${methods}`;
		return err(createError(administrationErrorKinds.methodNotAllowed, message));
	}

	const message =
		'there is nothing at this path; see the administration page for the paths';
	return err(createError(administrationErrorKinds.notFound, message));
}

/** The part of the path that `:name` stands for; empty for a path without it. */
function matchPath(pattern: string, pathname: string): string | undefined {
	const wanted = pattern.split('/');
	const given = pathname.split('/');
	const isSame =
		wanted.length === given.length &&
		wanted.every((part, index) => part === ':name' || part === given[index]);
	return isSame ? (given[wanted.indexOf(':name')] ?? '') : undefined;
}

async function readBody(
	request: IncomingMessage,
): Promise<Result<string, AdministrationError>> {
	const chunks: Uint8Array[] = [];
	let bytes = 0;
	// The answer to a body that is too large still needs the connection.
	const chunksOf = request.iterator({destroyOnReturn: false});
	for await (const chunk of chunksOf as AsyncIterable<Uint8Array>) {
		bytes += chunk.byteLength;
		if (bytes > maximumBodyBytes) {
			const message = `the body is over ${maximumBodyBytes} bytes; send less`;
			return err(createError(administrationErrorKinds.bodyTooLarge, message));
		}

		chunks.push(chunk);
	}

	return ok(Buffer.concat(chunks).toString('utf8'));
}

function send(response: ServerResponse, answer: Answer): void {
	if (answer.isErr()) {
		const {status, kind, message, details} = answer.error;
		const isTooLarge = kind === administrationErrorKinds.bodyTooLarge;
		if (isTooLarge) {
			response.setHeader('connection', 'close');
		}

		sendJson(response, status, {error: {kind, message, ...details}});
		return;
	}

	const {value} = answer;
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
