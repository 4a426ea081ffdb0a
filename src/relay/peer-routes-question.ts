/**
 * Asks another node for routes newer than a version. A node that lacks them too says so at once and answers
 * when it has them, for a limited time.
 */
import {Buffer} from 'node:buffer';
import {request as sendRequest} from 'node:http';
import {collectResponse} from '../http/index.js';
import type {Member} from '../membership/index.js';
import {newerThanHeader, routesPath, waitHeader} from './peer-listener.js';

export type RoutesQuestion = {
	/** Only newer routes are wanted. */
	readonly newerThan: number;
	/** Called when the node lacks them, and will answer once it has them. */
	readonly onWaiting: () => void;
	/** Called when the node begins to send them. */
	readonly onReceiving: () => void;
	/** Ends the question. */
	readonly signal: AbortSignal;
};

/** Resolves to the document; undefined if the node has none in time or does not answer. */
export type AskForRoutes = (
	member: Member,
	question: RoutesQuestion,
) => Promise<string | undefined>;

const processingStatus = 102;
const maximumRoutesBytes = 4_194_304;
const waitMilliseconds = 400;
/** Longest silence of the node; a large document takes longer over a narrow link. */
const silenceMilliseconds = 700;

/** Asks a node over HTTP. */
export const askForRoutes: AskForRoutes = async ({host, peerPort}, question) =>
	new Promise(resolve => {
		const request = sendRequest({
			host,
			port: peerPort,
			path: routesPath,
			headers: {
				[newerThanHeader]: String(question.newerThan),
				[waitHeader]: String(waitMilliseconds),
			},
			agent: false,
			signal: question.signal,
			timeout: silenceMilliseconds,
		});
		request.on('timeout', () => {
			request.destroy(new Error('the node fell silent'));
		});
		request.on('information', ({statusCode}) => {
			if (statusCode === processingStatus) {
				question.onWaiting();
			}
		});
		request.on('response', response => {
			if (response.statusCode !== 200) {
				response.resume();
				resolve(undefined);
				return;
			}

			question.onReceiving();
			collectResponse({request, response}, maximumRoutesBytes, whole => {
				resolve(whole && Buffer.from(whole).toString('utf8'));
			});
		});
		request.on('error', () => {
			resolve(undefined);
		});
		request.end();
	});
