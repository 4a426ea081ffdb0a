/** Issued keys: their contents, and every reason to refuse one. */
import {randomBytes} from 'node:crypto';
import {test} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {
	checkScope,
	issueKey,
	keyErrorKinds,
	appendKeyNumber,
	verifyIssuedKey,
	type IssueRequest,
	type KeyErrorKind,
	type KeySecrets,
} from '../../src/binding/index.js';

const secrets: KeySecrets = ['first secret'];
const request: IssueRequest = {
	home: {nodeId: 'north-1', incarnation: 'k3Yw', host: '10.0.0.7', port: 7002},
	scope: {service: 'booking', team: ''},
	expiresAt: 1_800_000_000_000,
	block: false,
};
const single = issueKey(request, secrets, randomBytes);
const block = issueKey({...request, block: true}, secrets, randomBytes);

test('a key carries its home, scope and expiry', () => {
	const key = verifyIssuedKey(single, secrets)._unsafeUnwrap();
	expect(key.home).toEqual(request.home);
	expect(key.scope).toEqual(request.scope);
	expect(key.expiresAt).toEqual(request.expiresAt);
});

test('different numbers of a block give different keys with the same home', () => {
	const first = verifyIssuedKey(appendKeyNumber(block, 1), secrets)._unsafeUnwrap();
	const second = verifyIssuedKey(appendKeyNumber(block, 2), secrets)._unsafeUnwrap();
	expect(first.id === second.id).toEqual(false);
	expect(first.home).toEqual(second.home);
});

test('a key signed with an older secret is valid while that secret is listed', () => {
	expect(verifyIssuedKey(single, ['newer secret', ...secrets]).isOk()).toEqual(true);
});

const [prefix, body = '', digest] = single.split('.');
const faults: ReadonlyArray<readonly [string, string, KeyErrorKind]> = [
	['without its HMAC', `${prefix}.${body}`, keyErrorKinds.incomplete],
	['with a truncated HMAC', single.slice(0, -6), keyErrorKinds.forged],
	[
		'with a modified body',
		`${prefix}.${body.slice(0, -2)}AA.${digest}`,
		keyErrorKinds.forged,
	],
	['of another mesh', issueKey(request, ['foreign'], randomBytes), keyErrorKinds.forged],
	['of a block without a number', block, keyErrorKinds.incomplete],
	['of a block with a non-canonical number', `${block}.01`, keyErrorKinds.incomplete],
	['of a block with a negative number', `${block}.-1`, keyErrorKinds.incomplete],
	['that is single, with a number', `${single}.1`, keyErrorKinds.incomplete],
	['with too many parts', `${block}.1.1`, keyErrorKinds.incomplete],
	['that is too long', `${single}${'A'.repeat(2000)}`, keyErrorKinds.incomplete],
	['that is empty', '', keyErrorKinds.incomplete],
];

for (const [name, text, kind] of faults) {
	test(`a key ${name} is refused as ${kind}`, () => {
		expect(verifyIssuedKey(text, secrets)._unsafeUnwrapErr().kind).toEqual(kind);
	});
}

test('a key of another service is refused', () => {
	const key = verifyIssuedKey(single, secrets)._unsafeUnwrap();
	const refusal = checkScope(key, {service: 'ledger', team: ''})._unsafeUnwrapErr();
	expect(refusal.kind).toEqual(keyErrorKinds.wrongScope);
	expect(checkScope(key, {service: 'booking', team: 'darkroom'}).isOk()).toEqual(true);
});

test('a change of any character of a key is detected', () => {
	const property = fc.property(
		fc.nat({max: single.length - 1}),
		fc.string({minLength: 1, maxLength: 1}),
		(at, character) => {
			const changed = single.slice(0, at) + character + single.slice(at + 1);
			expect(verifyIssuedKey(changed, secrets).isOk()).toEqual(changed === single);
		},
	);
	fc.assert(property, {seed: 20_261_204, numRuns: 1000});
});
