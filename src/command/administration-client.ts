/**
 * Client of the administration API of one node. A change carries an id, so that it can be sent
 * again after its response was lost and is still accepted only once.
 */
import {Buffer} from 'node:buffer';
import {request} from 'node:http';
import {request as requestHttps} from 'node:https';
import {err, ok, type Result} from 'neverthrow';
import * as z from 'zod';
import {collectResponse} from '../http/index.js';
import {exitCodes, type ExitCode} from './exit-codes.js';

const requestTimeoutMilliseconds = 15_000;
const maximumChangeAttempts = 3;
const maximumResponseBytes = 16_777_216;

/** Address of the API and token to authenticate with. */
export type AdministrationTarget = {
	/** Base URL, such as `http://127.0.0.1:7400`. */
	readonly url: URL;
	readonly token: string;
};

/** One request to the API. */
export type ApiRequest = {
	readonly method: 'GET' | 'PUT' | 'POST';
	readonly path: string;
	readonly team?: string | undefined;
	readonly headers?: Readonly<Record<string, string>>;
	readonly body?: string;
};

/** Reason why a request failed, with the exit code for scripts. */
export type ClientError = {
	readonly exitCode: ExitCode;
	readonly message: string;
};

const errorSchema = z.object({
	error: z.object({
		kind: z.string(),
		message: z.string(),
		faults: z
			.array(z.object({line: z.number(), place: z.string(), message: z.string()}))
			.optional(),
	}),
});

/**
 * Sends a request.
 *
 * @param target address and token
 * @param apiRequest the request
 * @returns the JSON of the response
 */
export async function sendApiRequest(
	target: AdministrationTarget,
	apiRequest: ApiRequest,
): Promise<Result<unknown, ClientError>> {
	const response = await send(target, apiRequest);
	return response.andThen(({status, text}) => parseResponse(status, text));
}

/**
 * Sends a change, and retries it with the same id while the node is unreachable.
 *
 * @param target address and token
 * @param apiRequest the change, with its id in the headers
 * @returns the JSON of the response
 */
export async function sendChange(
	target: AdministrationTarget,
	apiRequest: ApiRequest,
): Promise<Result<unknown, ClientError>> {
	let result = await sendApiRequest(target, apiRequest);
	for (
		let attempts = 1;
		attempts < maximumChangeAttempts && isUnreachable(result);
		attempts += 1
	) {
		// eslint-disable-next-line no-await-in-loop -- Each attempt depends on the failure of the previous one.
		result = await sendApiRequest(target, apiRequest);
	}

	return result;
}

function isUnreachable(result: Result<unknown, ClientError>): boolean {
	return result.isErr() && result.error.exitCode === exitCodes.unreachable;
}

type ApiResponse = {readonly status: number; readonly text: string};

async function send(
	target: AdministrationTarget,
	apiRequest: ApiRequest,
): Promise<Result<ApiResponse, ClientError>> {
	const url = new URL(apiRequest.path, target.url);
	if (apiRequest.team !== undefined) {
		url.searchParams.set('team', apiRequest.team);
	}

	const body = apiRequest.body ?? '';
	return new Promise(resolve => {
		const sendHttpRequest = url.protocol === 'https:' ? requestHttps : request;
		const outgoing = sendHttpRequest(url, {
			method: apiRequest.method,
			timeout: requestTimeoutMilliseconds,
			headers: {
				authorization: `Bearer ${target.token}`,
				'content-length': Buffer.byteLength(body),
				...apiRequest.headers,
			},
		});
		outgoing.on('timeout', () => {
			outgoing.destroy(new Error('no response in time'));
		});
		outgoing.on('error', error => {
			resolve(err(createUnreachableError(target, error)));
		});
		outgoing.on('response', response => {
			const exchange = {request: outgoing, response};
			collectResponse(exchange, maximumResponseBytes, (whole, error) => {
				if (whole === undefined) {
					resolve(err(createUnreachableError(target, error ?? new Error('cut off'))));
					return;
				}

				const text = Buffer.from(whole).toString('utf8');
				resolve(ok({status: response.statusCode ?? 0, text}));
			});
		});
		outgoing.end(body);
	});
}

function createUnreachableError(target: AdministrationTarget, error: Error): ClientError {
	return {
		exitCode: exitCodes.unreachable,
		message: `${target.url.host} did not respond (${error.message}): check --administration, or use another node`,
	};
}

function parseResponse(status: number, text: string): Result<unknown, ClientError> {
	const content = parseJson(text);
	if (status < 300) {
		return ok(content);
	}

	const parsed = errorSchema.safeParse(content);
	if (!parsed.success) {
		const message = `the response with status ${status} is not from the administration API: check --administration`;
		return err({exitCode: exitCodes.failed, message});
	}

	const {kind, message, faults = []} = parsed.data.error;
	const lines = faults.map(
		fault => `line ${fault.line}: ${fault.place} ${fault.message}`,
	);
	return err({
		exitCode: findExitCode(status),
		message: [`${kind}: ${message}`, ...lines].join('\n'),
	});
}

const exitCodeByStatus: ReadonlyMap<number, ExitCode> = new Map<number, ExitCode>([
	[400, exitCodes.badInput],
	[401, exitCodes.forbidden],
	[403, exitCodes.forbidden],
	[404, exitCodes.badInput],
	[409, exitCodes.conflict],
	[413, exitCodes.badInput],
	[422, exitCodes.badInput],
	[503, exitCodes.unreachable],
	[504, exitCodes.unreachable],
]);

function findExitCode(status: number): ExitCode {
	return exitCodeByStatus.get(status) ?? exitCodes.failed;
}

function parseJson(text: string): unknown {
	try {
		return JSON.parse(text);
	} catch {
		return undefined;
	}
}
