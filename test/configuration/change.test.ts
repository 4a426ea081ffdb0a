/** Checking a change: idempotency by id, conflicts, and invalid documents. */
import {test} from 'node:test';
import {expect} from 'earl';
import {evaluateChange, type Change} from '../../src/configuration/change.js';
import type {StoredConfiguration} from '../../src/configuration/stored.js';
import {createDocumentText} from '../support/configuration.js';

const now = 1000;
const text = createDocumentText('darkrooms');

function createChange(changes: Partial<Change> = {}): Change {
	const content = {kind: 'document', text} as const;
	return {changeId: 'one', team: 'darkrooms', by: 'ada', content, ...changes};
}

function accept(
	stored: StoredConfiguration | undefined,
	change: Change,
): StoredConfiguration {
	const decision = evaluateChange(stored, change, 0, now)._unsafeUnwrap();
	if (decision.kind !== 'write') {
		throw new Error('expected a row to write');
	}

	return decision.next;
}

const first = accept(undefined, createChange());
const switchToPeak = {kind: 'preset', preset: 'peak'} as const;

test('each change gets a version above the stored one and all known ones', () => {
	expect(first.version).toEqual(1);
	const second = accept(first, createChange({changeId: 'two', content: switchToPeak}));
	expect(second.version).toEqual(2);
	expect(second.history.map(record => record.changeId)).toEqual(['two', 'one']);
	expect(second.history[0]?.inForce).toEqual('peak');
	const afterRowLoss = evaluateChange(undefined, createChange(), 7, now)._unsafeUnwrap();
	expect(afterRowLoss.kind === 'write' && afterRowLoss.next.version).toEqual(8);
});

test('a retry of an accepted change gets the same record, also after later changes', () => {
	const second = accept(first, createChange({changeId: 'two', content: switchToPeak}));
	const repeat = evaluateChange(second, createChange({expectedVersion: 0}), 0, now);
	expect(repeat._unsafeUnwrap()).toEqual({kind: 'stands', record: first.history[0]!});
});

const refusals = [
	{
		name: 'based on an older version',
		change: {changeId: 'two', expectedVersion: 0},
		kind: 'conflict',
	},
	{
		name: 'id reused for another change',
		change: {content: switchToPeak},
		kind: 'change-id-reused',
	},
	{
		name: 'unknown preset',
		change: {changeId: 'two', content: {kind: 'preset', preset: 'toString'}},
		kind: 'unknown-preset',
	},
	{
		name: 'invalid document',
		change: {changeId: 'two', content: {kind: 'document', text: `${text}more: 1\n`}},
		kind: 'invalid-document',
	},
	{
		name: 'document of another team',
		change: {
			changeId: 'two',
			content: {kind: 'document', text: createDocumentText('printers')},
		},
		kind: 'invalid-document',
	},
] as const;

for (const {name, change, kind} of refusals) {
	test(`a change is refused: ${name}`, () => {
		const decision = evaluateChange(first, createChange(change), 0, now);
		expect(decision._unsafeUnwrapErr().kind).toEqual(kind);
	});
}

test('a preset switch without a configuration is refused and asks for a document', () => {
	const decision = evaluateChange(
		undefined,
		createChange({content: switchToPeak}),
		0,
		now,
	);
	expect(decision._unsafeUnwrapErr().kind).toEqual('no-configuration');
	expect(decision._unsafeUnwrapErr().message.includes('apply a document first')).toEqual(
		true,
	);
});
