import {verbs} from './verbs.js';

const pattern = new RegExp(`^_?(?:${verbs.join('|')}|on|to|from)(?=[A-Z0-9]|$)`);

function checkName(context, node, name) {
	if (!name || pattern.test(name)) {
		return;
	}

	context.report({node, messageId: 'verb', data: {name}});
}

/** ESLint rule: names of functions and methods begin with a verb that docs/glossary.md lists. */
const rule = {
	meta: {
		type: 'suggestion',
		schema: [],
		messages: {verb: 'The name "{{name}}" does not begin with a verb listed in docs/glossary.md.'},
	},
	create(context) {
		return {
			FunctionDeclaration(node) {
				checkName(context, node, node.id?.name);
			},
			MethodDefinition(node) {
				if (node.kind === 'method' && node.key.type === 'Identifier' && !node.key.name.startsWith('_')) {
					checkName(context, node, node.key.name);
				}
			},
			VariableDeclarator(node) {
				if (node.init?.type === 'ArrowFunctionExpression' && node.id.type === 'Identifier' && node.parent.parent.type !== 'BlockStatement') {
					checkName(context, node, node.id.name);
				}
			},
		};
	},
};

export default rule;
