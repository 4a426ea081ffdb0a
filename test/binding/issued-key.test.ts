/** The contract of issued keys: what they name, and each way in which one is refused. */
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

test('a key names its home, its scope and its expiry', () => {
	const key = verifyIssuedKey(single, secrets)._unsafeUnwrap();
	expect(key.home).toEqual(request.home);
	expect(key.scope).toEqual(request.scope);
	expect(key.expiresAt).toEqual(request.expiresAt);
});

test('numbers of one block are different keys with one home', () => {
	const first = verifyIssuedKey(appendKeyNumber(block, 1), secrets)._unsafeUnwrap();
	const second = verifyIssuedKey(appendKeyNumber(block, 2), secrets)._unsafeUnwrap();
	expect(first.id === second.id).toEqual(false);
	expect(first.home).toEqual(second.home);
});

test('a key signed with an older secret is taken while that secret is listed', () => {
	expect(verifyIssuedKey(single, ['newer secret', ...secrets]).isOk()).toEqual(true);
});

const [prefix, body = '', digest] = single.split('.');
const faults: ReadonlyArray<readonly [string, string, KeyErrorKind]> = [
	['without its digest', `${prefix}.${body}`, keyErrorKinds.incomplete],
	['with half a digest', single.slice(0, -6), keyErrorKinds.forged],
	[
		'with another body',
		`${prefix}.${body.slice(0, -2)}AA.${digest}`,
		keyErrorKinds.forged,
	],
	[
		'of a foreign mesh',
		issueKey(request, ['foreign'], randomBytes),
		keyErrorKinds.forged,
	],
	['of a block without a number', block, keyErrorKinds.incomplete],
	[
		'of a block with a second spelling of a number',
		`${block}.01`,
		keyErrorKinds.incomplete,
	],
	['of a block with a negative number', `${block}.-1`, keyErrorKinds.incomplete],
	['single with a number', `${single}.1`, keyErrorKinds.incomplete],
	['with more parts', `${block}.1.1`, keyErrorKinds.incomplete],
	['over-long', `${single}${'A'.repeat(2000)}`, keyErrorKinds.incomplete],
	['empty', '', keyErrorKinds.incomplete],
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

test('no changed character of a key goes unseen', () => {
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
