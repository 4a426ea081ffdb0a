/** Encoding of a binding as a row of the platform's table. */
import {Buffer} from 'node:buffer';
import {BindingRow} from '../generated/binding.js';
import type {Binding} from './binding.js';

/**
 * Encodes a binding.
 *
 * @param binding the binding
 * @returns the row's value, base64
 */
export function encodeBinding(binding: Binding): string {
	const bytes = BindingRow.encode({
		homeNodeId: binding.home.nodeId,
		homeIncarnation: binding.home.incarnation,
		nonce: Buffer.from(binding.nonce, 'base64url'),
		expiresAt: binding.expiresAt,
		homeHost: binding.home.host,
		homePort: binding.home.port,
	}).finish();
	return Buffer.from(bytes).toString('base64');
}

/**
 * Decodes a binding.
 *
 * @param text the row's value
 * @returns the binding, or `undefined` if the text is malformed
 */
export function decodeBinding(text: string): Binding | undefined {
	try {
		const row = BindingRow.decode(Buffer.from(text, 'base64'));
		const {homeNodeId: nodeId, homeIncarnation: incarnation, expiresAt} = row;
		const {homeHost: host, homePort: port} = row;
		const nonce = row.nonce.toString('base64url');
		return nodeId === '' || incarnation === '' || nonce === ''
			? undefined
			: {home: {nodeId, incarnation, host, port}, nonce, expiresAt};
	} catch {
		return undefined;
	}
}
