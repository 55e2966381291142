import fs from 'node:fs';
import path from 'node:path';

const rootDirectory = path.resolve(import.meta.dirname, '../..');
const packagesDirectory = path.join(rootDirectory, 'packages');

/** Folder of the adapter for the users' platform, beside the packages. */
const adapterFolder = 'vihmavesi';
const adapterDirectory = path.join(rootDirectory, 'platform');

/** Order of section 11 of docs/design.md: a package may import only packages above it. */
const order = ['results', 'telemetry', 'platform', 'configuration', 'measuring', 'membership', 'routing', 'claims', 'http', 'peers', adapterFolder, 'cli', 'stand-ins', 'bench'];

const manifests = new Map(order.map(name => [name, JSON.parse(fs.readFileSync(path.join(name === adapterFolder ? adapterDirectory : path.join(packagesDirectory, name), 'package.json'), 'utf8'))]));
const folders = new Map([...manifests].map(([folder, manifest]) => [manifest.name, folder]));

function findFault(owner, isTest, specifier) {
	const target = folders.get(specifier);
	if (!target || isTest) {
		return;
	}

	if (!(specifier in (manifests.get(owner)?.dependencies ?? {}))) {
		return 'undeclared';
	}

	if (order.indexOf(target) >= order.indexOf(owner)) {
		return 'upward';
	}

	if (target === 'stand-ins' && owner !== 'bench') {
		return 'standIn';
	}
}

/** ESLint rule: imports between workspaces follow the order of docs/design.md, section 11. */
const rule = {
	meta: {
		type: 'problem',
		schema: [],
		messages: {
			undeclared: '{{owner}} imports {{specifier}} without declaring it.',
			upward: '{{owner}} may not import {{specifier}}: arrows point only downward.',
			standIn: '{{owner}} is product code and may not import stand-ins or the bench.',
		},
	},
	create(context) {
		const isAdapter = context.filename.startsWith(adapterDirectory + path.sep);
		const relative = path.relative(isAdapter ? adapterDirectory : packagesDirectory, context.filename).split(path.sep);
		const [owner, folder] = isAdapter ? [adapterFolder, ...relative] : relative;
		return {
			ImportDeclaration(node) {
				const messageId = findFault(owner, folder === 'tests', node.source.value);
				if (messageId) {
					context.report({node, messageId, data: {owner, specifier: node.source.value}});
				}
			},
		};
	},
};

export default rule;
