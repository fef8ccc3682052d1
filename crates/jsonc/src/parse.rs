//! Parser from text to the value tree.

use std::sync::Arc;

use jsonc_parser::ast;
use jsonc_parser::common::Ranged;
use jsonc_parser::{CollectOptions, ParseOptions};

use crate::fault::{Fault, Kind, Place};
use crate::node::{Field, Node, Value};

/// Parses the text of a file.
///
/// # Errors
/// A fault at the first place where the text is not JSON with comments.
pub fn parse(file: &str, text: &str) -> Result<Node, Fault> {
    let file: Arc<str> = file.into();
    let parsed = jsonc_parser::parse_to_ast(text, &CollectOptions::default(), &options());
    let root = match parsed {
        Ok(result) => result.value,
        Err(error) => return Err(syntax_fault(&file, text, &error)),
    };
    let mut cursor = Cursor::new(file, text);
    match root {
        Some(value) => Ok(convert(&value, &mut cursor)),
        None => Err(Fault::new(
            &Place::start(&cursor.file),
            Kind::Syntax,
            "the file holds no value",
            "write an object: { … }",
        )),
    }
}

/// Accepts comments and trailing commas, and no other extension of JSON.
fn options() -> ParseOptions {
    ParseOptions {
        allow_comments: true,
        allow_trailing_commas: true,
        allow_loose_object_property_names: false,
        allow_missing_commas: false,
        allow_single_quoted_strings: false,
        allow_hexadecimal_numbers: false,
        allow_unary_plus_numbers: false,
        allow_bare_decimal_point_numbers: false,
        allow_non_finite_numbers: false,
        allow_extended_string_escapes: false,
    }
}

fn syntax_fault(file: &Arc<str>, text: &str, error: &jsonc_parser::errors::ParseError) -> Fault {
    let mut cursor = Cursor::new(Arc::clone(file), text);
    let place = cursor.place(error.range().start);
    let message = format!("not JSON with comments: {}", error.kind());
    Fault::new(&place, Kind::Syntax, message, "mend the syntax here")
}

/// Converts offsets to lines and columns in one pass over the text; offsets must not
/// decrease.
struct Cursor<'a> {
    file: Arc<str>,
    text: &'a str,
    offset: usize,
    line: u32,
    column: u32,
}

impl<'a> Cursor<'a> {
    fn new(file: Arc<str>, text: &'a str) -> Self {
        Self {
            file,
            text,
            offset: 0,
            line: 1,
            column: 1,
        }
    }

    fn place(&mut self, offset: usize) -> Place {
        let rest = self.text.get(self.offset..).unwrap_or_default();
        for c in rest.chars() {
            if self.offset >= offset {
                break;
            }
            self.offset += c.len_utf8();
            self.column += 1;
            if c == '\n' {
                self.line += 1;
                self.column = 1;
            }
        }
        Place {
            file: Arc::clone(&self.file),
            line: self.line,
            column: self.column,
        }
    }
}

fn convert(value: &ast::Value<'_>, cursor: &mut Cursor<'_>) -> Node {
    let place = cursor.place(value.range().start);
    let value = match value {
        ast::Value::NullKeyword(_) => Value::Null,
        ast::Value::BooleanLit(lit) => Value::Bool(lit.value),
        ast::Value::NumberLit(lit) => Value::Number(lit.value.into()),
        ast::Value::StringLit(lit) => Value::Text(lit.value.as_ref().into()),
        ast::Value::Array(array) => Value::List(
            array
                .elements
                .iter()
                .map(|item| convert(item, cursor))
                .collect(),
        ),
        ast::Value::Object(object) => Value::Object(
            object
                .properties
                .iter()
                .map(|prop| convert_field(prop, cursor))
                .collect(),
        ),
    };
    Node { place, value }
}

fn convert_field(prop: &ast::ObjectProp<'_>, cursor: &mut Cursor<'_>) -> Field {
    Field {
        name: prop.name.as_str().into(),
        place: cursor.place(prop.range.start),
        node: convert(&prop.value, cursor),
    }
}
