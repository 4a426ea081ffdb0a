/** Tells whether a response can be used at all: whether HTTP allows its head, and whether its body is whole. */
import type {ClientRequest, IncomingMessage} from 'node:http';
import {awaitWholeBody} from './body-end.js';
import {findResponseHeadFault} from './message-head.js';

/**
 * Finds why the head of a response must not be used.
 *
 * @param response the response
 * @returns the reason; undefined if the head is valid
 */
export function findHeadError(response: IncomingMessage): Error | undefined {
	const fault = findResponseHeadFault({
		status: response.statusCode!,
		headers: response.rawHeaders,
	});
	return fault === undefined
		? undefined
		: new Error(`the response is malformed: ${fault}`);
}

/**
 * Waits until it is known whether a response is sound whose body its reader takes for complete. To be called when the
 * response begins.
 *
 * @param request the request of the response
 * @param response the response
 * @returns why the response must not be used; undefined if it is sound
 */
export async function awaitSoundResponse(
	request: ClientRequest,
	response: IncomingMessage,
): Promise<Error | undefined> {
	return findHeadError(response) ?? awaitWholeBody(request, response);
}
