/** The text of a binding in the platform's table. */
import {Buffer} from 'node:buffer';
import {BindingRow} from '../generated/binding.js';
import type {Binding} from './binding.js';

/**
 * Encodes a binding.
 *
 * @param binding which home may run a key
 * @returns text for the table
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
 * @param text from the table
 * @returns the binding, or nothing when the text is damaged
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
