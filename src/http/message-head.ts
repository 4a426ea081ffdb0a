/**
 * States which heads may be passed on. The parser of Node.js accepts more than its writer, which throws; so what
 * was received is checked before any of it is used, by the grammar of RFC 9110 and RFC 9112.
 */
import {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import type {HeaderList} from '../call/index.js';

/** The first line and the headers of a request, as received. */
export type RequestHead = Pick<IncomingMessage, 'method' | 'url' | 'rawHeaders'>;

/** The status and the headers of a response. */
export type ResponseHead = {
	readonly status: number;
	readonly headers: HeaderList;
};

const firstFinalStatus = 200;
const lastFinalStatus = 599;
/** Without a header, and with either of the first two, a body is sent as it is. */
const readableCodings: ReadonlySet<string> = new Set(['', 'identity', 'chunked']);
const tokenPattern = /^[\w!#$%\u0026'*+\-.^`\|~]+$/v;
/** Visible characters and bytes beyond ASCII, with tabs and spaces between them. */
const valuePattern = /^[\t\u0020-\u007E\u0080-\u00FF]*$/v;
const printablePattern = /^[^\p{Cc}\p{Cs}]*$/v;
const targetPattern = /^[\u0021-\u007E\u0080-\u00FF]+$/v;

/**
 * Finds why a request must not be passed on.
 *
 * @param head the request
 * @returns the reason; undefined if the head is valid
 */
export function findRequestHeadFault(head: RequestHead): string | undefined {
	if (!tokenPattern.test(head.method ?? '')) {
		return 'the method is not a token';
	}

	if (!isRequestTarget(head.url ?? '')) {
		return 'the path is empty or contains white space or control characters';
	}

	return findHeaderFault(head.rawHeaders);
}

/**
 * Finds why a final response must not be passed on.
 *
 * @param head the response
 * @returns the reason; undefined if the head is valid
 */
export function findResponseHeadFault(head: ResponseHead): string | undefined {
	const {status} = head;
	const isFinal = status >= firstFinalStatus && status <= lastFinalStatus;
	if (!isFinal) {
		return `${status} is not a final status`;
	}

	return findHeaderFault(head.headers) ?? findCodingFault(head.headers);
}

/**
 * Tells whether a text can be the value of a header and is read as it was written.
 *
 * @param text the text
 */
export function isHeaderValue(text: string): boolean {
	return text !== '' && text === text.trim() && valuePattern.test(text);
}

/**
 * Tells whether a text can be the path of a request.
 *
 * @param text path and query
 */
export function isRequestTarget(text: string): boolean {
	return targetPattern.test(text);
}

/**
 * Tells whether a text is free of control characters and can be encoded.
 *
 * @param text the text
 */
export function isPrintable(text: string): boolean {
	return printablePattern.test(text);
}

/**
 * Encodes a text as the value of a header: its bytes in UTF-8, which leaves ASCII as it is.
 *
 * @param text a printable text
 * @returns one character for each byte
 */
export function encodeHeaderText(text: string): string {
	return Buffer.from(text, 'utf8').toString('latin1');
}

/** Only chunks are decoded here, and no request asks for another coding. */
function findCodingFault(headers: HeaderList): string | undefined {
	const codings = headers.filter(
		(_, index) =>
			index % 2 === 1 && headers[index - 1]!.toLowerCase() === 'transfer-encoding',
	);
	const coding = codings.join(',').trim().toLowerCase();
	return readableCodings.has(coding)
		? undefined
		: `the transfer coding ${JSON.stringify(coding)} cannot be read`;
}

function findHeaderFault(headers: HeaderList): string | undefined {
	for (let index = 0; index < headers.length; index += 2) {
		if (!tokenPattern.test(headers[index]!)) {
			return `the header name ${JSON.stringify(headers[index])} is not a token`;
		}

		if (!valuePattern.test(headers[index + 1]!)) {
			return `the value of the header ${headers[index]} contains control characters`;
		}
	}

	return undefined;
}
